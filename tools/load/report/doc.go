// Package report shows results of the load tool: as text, as a comparison of
// two runs, as figures, and as one HTML page that needs no other file.
package report
