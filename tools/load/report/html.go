package report

import (
	"bytes"
	"html/template"
	"io"
	"slices"

	"carobspoke.example/tools/load/measure"
	"github.com/pkg/errors"
)

var pageTemplate = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>carobspoke load report</title>
<style>
body { font-family: sans-serif; margin: 2em auto; max-width: 75em; }
pre { overflow-x: auto; background: #f4f4f4; padding: 1em; }
figure { display: inline-block; margin: 0 1em 1em 0; }
</style>
</head>
<body>
<h1>carobspoke load report</h1>
{{range .Tables}}<pre>{{.}}</pre>
{{end}}{{range .Figures}}<figure>{{.}}</figure>
{{end}}</body>
</html>
`))

// content is the data of pageTemplate.
type content struct {
	Tables  []string
	Figures []template.HTML
}

// HTML writes one page that shows some results. The first is the baseline that
// the others are compared with.
func HTML(w io.Writer, results []*measure.Result) error {
	var c content
	if err := c.addTables(results); err != nil {
		return err
	}
	if err := c.addFigures(results); err != nil {
		return err
	}
	return errors.WithStack(pageTemplate.Execute(w, c))
}

func (c *content) addTables(results []*measure.Result) error {
	for i, r := range results {
		var text bytes.Buffer
		if err := Text(&text, r); err != nil {
			return err
		}
		c.Tables = append(c.Tables, text.String())
		if i == 0 {
			continue
		}
		var compared bytes.Buffer
		if err := Compare(&compared, results[0], r); err != nil {
			return err
		}
		c.Tables = append(c.Tables, compared.String())
	}
	return nil
}

func (c *content) addFigures(results []*measure.Result) error {
	if err := c.addFigure(Timeline, "", results); err != nil {
		return err
	}
	for _, class := range classes(results) {
		for _, figure := range []Figure{FirstToken, InterToken, Total} {
			if err := c.addFigure(figure, class, results); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *content) addFigure(figure Figure, class string, results []*measure.Result) error {
	if figure != Timeline && !hasData(figure, class, results) {
		return nil
	}
	drawn, err := svg(figure, class, results)
	if err != nil {
		return err
	}
	c.Figures = append(c.Figures, template.HTML(drawn)) // the plotting library escapes its text
	return nil
}

// hasData reports whether any result has values for a distribution.
func hasData(figure Figure, class string, results []*measure.Result) bool {
	for _, r := range results {
		group := r.Find(class, measure.AllPhases)
		if group == nil {
			continue
		}
		if latency, err := latencyOf(figure, group); err == nil && latency.Count > 0 {
			return true
		}
	}
	return false
}

// classes returns the classes of all results, sorted.
func classes(results []*measure.Result) []string {
	var found []string
	for _, r := range results {
		for _, g := range r.Groups {
			found = append(found, g.Class)
		}
	}
	slices.Sort(found)
	return slices.Compact(found)
}
