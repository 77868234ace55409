package main

import (
	"bytes"
	"fmt"
	"html/template"
	"io"
	"os"

	"github.com/spf13/cobra"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/baobabtide/baobabtide/btflag"
	"github.com/baobabtide/baobabtide/btlog"
)

// Size of the plot.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

var summaryFlags struct {
	Page string `flag:"page" help:"file for a page with a plot that needs nothing else"`
}

func init() {
	logs := &cobra.Command{Use: "logs", Short: "Read the logs of nodes"}
	summary := &cobra.Command{
		Use:   "summary FILE...",
		Short: "Tell what callers were told over time, by reason, and how versions came into force",
		Args:  cobra.MinimumNArgs(1),
		RunE:  summarize,
	}
	btflag.Bind(summary.Flags(), &summaryFlags)
	logs.AddCommand(summary)
	register(logs)
}

// summaryView is the summary as JSON.
type summaryView struct {
	Lines   int
	Foreign int
	Periods []btlog.Period
	Spreads []btlog.Spread
}

func summarize(c *cobra.Command, paths []string) error {
	s := &btlog.Summary{}
	for _, path := range paths {
		if err := readLog(s, path); err != nil {
			return err
		}
	}
	if summaryFlags.Page != "" {
		if err := writePage(summaryFlags.Page, s); err != nil {
			return err
		}
	}
	view := summaryView{Lines: s.Lines, Foreign: s.Foreign, Periods: s.Periods(), Spreads: s.Spreads()}
	var printErr error
	if err := global.print(c, view, func(w io.Writer) { printErr = s.Print(w) }); err != nil {
		return err
	}
	return printErr
}

var page = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>baobabtide: what callers were told</title></head>
<body><h1>What callers were told</h1>
{{.Plot}}
<pre>{{.Text}}</pre>
</body></html>
`))

// writePage writes the plot and the table as one page.
func writePage(path string, s *btlog.Summary) error {
	image, err := drawPeriods(s.Periods())
	if err != nil {
		return fmt.Errorf("draw plot: %w", err)
	}
	var text bytes.Buffer
	if err := s.Print(&text); err != nil {
		return err
	}
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("create page: %w", err)
	}
	defer file.Close()
	content := struct {
		Plot template.HTML // an SVG image that this program drew
		Text string
	}{template.HTML(image), text.String()}
	if err := page.Execute(file, content); err != nil {
		return fmt.Errorf("write page: %w", err)
	}
	return file.Close()
}

// drawPeriods returns an SVG image of the counts over time.
func drawPeriods(periods []btlog.Period) (string, error) {
	p := plot.New()
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "requests in 5 s"
	p.Legend.Top = true
	lines := []struct {
		name  string
		value func(*btlog.Period) int
	}{
		{"answered", func(p *btlog.Period) int { return p.Answered }},
		{"not run", func(p *btlog.Period) int { return p.NotRun }},
		{"may have run", func(p *btlog.Period) int { return p.MayHaveRun }},
	}
	for i, l := range lines {
		points := make(plotter.XYs, len(periods))
		for j := range periods {
			points[j] = plotter.XY{X: periods[j].From.Sub(periods[0].From).Seconds(), Y: float64(l.value(&periods[j]))}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return "", err
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(l.name, line)
	}
	writer, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return "", err
	}
	var image bytes.Buffer
	if _, err := writer.WriteTo(&image); err != nil {
		return "", err
	}
	// the XML declaration has no place inside a page
	if i := bytes.Index(image.Bytes(), []byte("<svg")); i > 0 {
		return image.String()[i:], nil
	}
	return image.String(), nil
}
