package experiment

import (
	"fmt"
	"os"
	"sort"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"

	"mallowlatch.example/mallowlatch/internal/lab/load"
)

const (
	chartWidth  = 8 * vg.Inch
	chartHeight = 4 * vg.Inch
	barWidth    = vg.Inch / 5
	// legendRoom stretches the vertical axis, so that the legend covers nothing.
	legendRoom = 1.3
)

// Chart is one panel of a plot: lines over X, or bars by label.
type Chart struct {
	Title string `json:"title"`
	X     string `json:"x,omitempty"`
	Y     string `json:"y"`
	Lines []Line `json:"lines,omitempty"`
	Bars  []Bars `json:"bars,omitempty"`
	// Labels name the groups of bars.
	Labels []string `json:"labels,omitempty"`
}

// Line is a curve.
type Line struct {
	Name   string      `json:"name"`
	Points plotter.XYs `json:"points"`
}

func (l *Line) add(x, y float64) { l.Points = append(l.Points, plotter.XY{X: x, Y: y}) }

// Bars is one bar of each group.
type Bars struct {
	Name   string         `json:"name"`
	Values plotter.Values `json:"values"`
}

func latencyChart(fields Fields, names ...string) Chart {
	chart := Chart{Title: "online latency", Y: "ms", Labels: names}
	for _, figure := range []string{"ttft_p50_ms", "ttft_p99_ms", "inter_token_p99_ms"} {
		chart.addBars(fields, figure, names)
	}
	return chart
}

func shareChart(fields Fields, names ...string) Chart {
	chart := Chart{Title: "batch: share of the idle-capacity bound", Y: "share", Labels: names}
	chart.addBars(fields, "share_of_bound", names)
	return chart
}

func (c *Chart) addBars(fields Fields, figure string, names []string) {
	bars := Bars{Name: figure}
	for _, name := range names {
		bars.Values = append(bars.Values, fields[name+"_"+figure])
	}
	c.Bars = append(c.Bars, bars)
}

func (c *Chart) addTimeline(name string, report *load.Report, figure func(load.Second) float64) {
	line := Line{Name: name}
	for index, second := range report.Timeline {
		line.add(float64(index), figure(second))
	}
	c.Lines = append(c.Lines, line)
	sort.Slice(c.Lines, func(i, j int) bool { return c.Lines[i].Name < c.Lines[j].Name })
}

// WritePlot draws the charts of the last run into a PNG file.
func (r *Result) WritePlot(path string) error {
	charts := r.Runs[len(r.Runs)-1].Charts
	image := vgimg.New(chartWidth, chartHeight*vg.Length(max(1, len(charts))))
	canvas := draw.New(image)
	tiles := draw.Tiles{Rows: max(1, len(charts)), Cols: 1}
	for index, chart := range charts {
		panel, err := chart.panel()
		if err != nil {
			return fmt.Errorf("drawing %s: %w", chart.Title, err)
		}
		panel.Draw(tiles.At(canvas, 0, index))
	}
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("writing plot: %w", err)
	}
	defer file.Close()
	if _, err := (vgimg.PngCanvas{Canvas: image}).WriteTo(file); err != nil {
		return fmt.Errorf("writing plot: %w", err)
	}
	return nil
}

func (c Chart) panel() (*plot.Plot, error) {
	panel := plot.New()
	panel.Title.Text = c.Title
	panel.X.Label.Text = c.X
	panel.Y.Label.Text = c.Y
	panel.Legend.Top = true
	for index, line := range c.Lines {
		drawn, err := plotter.NewLine(line.Points)
		if err != nil {
			return nil, fmt.Errorf("line %s: %w", line.Name, err)
		}
		drawn.Color = plotutil.Color(index)
		panel.Add(drawn)
		panel.Legend.Add(line.Name, drawn)
	}
	for index, bars := range c.Bars {
		drawn, err := plotter.NewBarChart(bars.Values, barWidth)
		if err != nil {
			return nil, fmt.Errorf("bars %s: %w", bars.Name, err)
		}
		drawn.Color = plotutil.Color(index)
		drawn.Offset = vg.Length(index) * barWidth
		panel.Add(drawn)
		panel.Legend.Add(bars.Name, drawn)
	}
	if len(c.Labels) > 0 {
		panel.NominalX(c.Labels...)
	}
	panel.Y.Min = min(panel.Y.Min, 0)
	panel.Y.Max *= legendRoom
	return panel, nil
}
