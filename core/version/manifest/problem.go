package manifest

import "fmt"

// Problem is one reason to refuse a manifest.
type Problem struct {
	// Path is the place in the manifest, such as "targets[3].address".
	Path string
	// Expected describes a valid value at Path.
	Expected string
	// Found is the value in the manifest; empty if there is nothing to show.
	Found string
}

// String returns the problem as one line for the operator.
func (p Problem) String() string {
	if p.Found == "" {
		return fmt.Sprintf("%s: expected %s", p.Path, p.Expected)
	}
	return fmt.Sprintf("%s: expected %s, found %s", p.Path, p.Expected, p.Found)
}

// InvalidError is the error for a manifest that has problems.
type InvalidError struct {
	Problems []Problem
}

// Error returns the first problem and the number of the others.
func (e *InvalidError) Error() string {
	if len(e.Problems) == 0 {
		return "invalid manifest"
	}
	text := "invalid manifest: " + e.Problems[0].String()
	if more := len(e.Problems) - 1; more > 0 {
		text += fmt.Sprintf(" (and %d more)", more)
	}
	return text
}

// Check returns an *InvalidError if the manifest has problems.
func (m *Manifest) Check() error {
	problems := m.Validate()
	if len(problems) == 0 {
		return nil
	}
	return &InvalidError{Problems: problems}
}
