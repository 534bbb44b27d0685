package bench

import (
	"encoding/csv"
	"fmt"
	"image/color"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Table is a result table. Name is the file name without extension.
type Table struct {
	Name    string
	Title   string
	Columns []string
	Rows    [][]string
}

// Add appends a row. It rounds floats to four significant digits and durations to
// about three.
func (t *Table) Add(cells ...any) {
	row := make([]string, len(cells))
	for i, c := range cells {
		switch v := c.(type) {
		case float64:
			row[i] = fmt.Sprintf("%.4g", v)
		case time.Duration:
			row[i] = roundDuration(v).String()
		default:
			row[i] = fmt.Sprint(v)
		}
	}
	t.Rows = append(t.Rows, row)
}

func roundDuration(d time.Duration) time.Duration {
	for _, unit := range []time.Duration{time.Second, time.Millisecond, time.Microsecond} {
		if d >= 10*unit {
			return d.Round(unit / 10)
		}
	}
	return d
}

// WriteText writes the table with aligned columns.
func (t *Table) WriteText(w io.Writer) error {
	fmt.Fprintf(w, "%s\n\n", t.Title)
	tw := tabwriter.NewWriter(w, 2, 8, 2, ' ', 0)
	for _, row := range append([][]string{t.Columns}, t.Rows...) {
		fmt.Fprintln(tw, strings.Join(row, "\t"))
	}
	return tw.Flush()
}

// WriteCSV writes the table as CSV with a header.
func (t *Table) WriteCSV(w io.Writer) error {
	c := csv.NewWriter(w)
	return c.WriteAll(append([][]string{t.Columns}, t.Rows...))
}

// Line is one series of a Plot. Its points are joined in the order of XY; each
// point is an x and a y value.
type Line struct {
	Name   string // label in the legend
	XY     [][2]float64
	Dashed bool
}

// Plot is a line plot. Name is the file name without extension.
type Plot struct {
	Name, Title, X, Y string // X and Y are the labels of the axes
	LogX, LogY        bool   // logarithmic axes
	Lines             []Line
}

// WritePNG draws the plot as a PNG image.
func (p *Plot) WritePNG(w io.Writer) error {
	g := plot.New()
	g.Title.Text, g.X.Label.Text, g.Y.Label.Text = p.Title, p.X, p.Y
	g.BackgroundColor = color.White
	g.Legend.Top = true
	g.Add(plotter.NewGrid())
	if p.LogX {
		g.X.Scale, g.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	}
	if p.LogY {
		g.Y.Scale, g.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	}
	for i, l := range p.Lines {
		xys := make(plotter.XYs, len(l.XY))
		for k, v := range l.XY {
			xys[k].X, xys[k].Y = v[0], v[1]
		}
		line, err := plotter.NewLine(xys)
		if err != nil {
			return fmt.Errorf("create plot line %s: %w", l.Name, err)
		}
		line.Color = plotutil.Color(i)
		line.Width = vg.Points(1.5)
		if l.Dashed {
			line.Dashes = plotutil.Dashes(1)
		}
		g.Add(line)
		g.Legend.Add(l.Name, line)
	}
	out, err := g.WriterTo(20*vg.Centimeter, 12*vg.Centimeter, "png")
	if err != nil {
		return err
	}
	_, err = out.WriteTo(w)
	return err
}
