package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"wisteriarelay.example/core/tree"
)

const (
	outputTable = "table"
	outputJSON  = "json"
)

// table is human-readable output: a header and rows of the same length.
type table struct {
	header []string
	rows   [][]string
}

func newTable(header ...string) *table { return &table{header: header} }

func (t *table) add(cells ...any) {
	row := make([]string, 0, len(cells))
	for _, c := range cells {
		text := fmt.Sprint(c)
		if text == "" {
			text = "-"
		}
		row = append(row, text)
	}
	t.rows = append(t.rows, row)
}

// printReply prints a reply as JSON, or as the table that toTable returns,
// depending on the flag --output.
func printReply(c *cli.Command, reply any, toTable func() *table) error {
	switch format := c.String("output"); format {
	case outputJSON:
		return printJSON(c, reply)
	case outputTable:
		return toTable().print(c)
	default:
		return newUsageError("--output %q; allowed: table or json", format)
	}
}

// printJSON prints a value as indented JSON.
func printJSON(c *cli.Command, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(c.Root().Writer, string(data))
	return err
}

func (t *table) print(c *cli.Command) error {
	w := tabwriter.NewWriter(c.Root().Writer, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.ToUpper(strings.Join(t.header, "\t")))
	for _, row := range t.rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

// formatOps formats ops on one line.
func formatOps(ops []tree.Op) string {
	parts := make([]string, 0, len(ops))
	for _, o := range ops {
		switch {
		case o.Key == "" && o.Unset:
			parts = append(parts, fmt.Sprintf("remove %s", o.Path))
		case o.Key == "":
			parts = append(parts, fmt.Sprintf("declare %s", o.Path))
		case o.Unset:
			parts = append(parts, fmt.Sprintf("unset %s %s", o.Path, o.Key))
		default:
			parts = append(parts, fmt.Sprintf("%s %s=%s", o.Path, o.Key, truncate(string(o.Value))))
		}
	}
	return strings.Join(parts, "; ")
}

// maxCellRunes limits the length of values in tables. --output json prints them in
// full.
const maxCellRunes = 60

func truncate(s string) string {
	runes := []rune(s)
	if len(runes) <= maxCellRunes {
		return s
	}
	return string(runes[:maxCellRunes-3]) + "..."
}

func formatTime(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.UTC().Format(time.RFC3339)
}

// formatOrigin describes where a value comes from: a preset, the default, or a path
// with its level.
func formatOrigin(o tree.Origin) string {
	switch {
	case o.Preset != "":
		return "preset " + o.Preset
	case o.Default:
		return "default"
	}
	return fmt.Sprintf("%s (%s)", o.Path, o.Level)
}
