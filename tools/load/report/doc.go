// Package report renders results of the load tool: as text, as a comparison of
// two runs, as figures, and as one self-contained HTML page.
package report
