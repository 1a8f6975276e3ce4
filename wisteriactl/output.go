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

// table is output for people: a head and rows of equal length.
type table struct {
	head []string
	rows [][]string
}

func newTable(head ...string) *table { return &table{head: head} }

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

// printReply prints the reply as JSON, or as the table that it makes.
func printReply(c *cli.Command, reply any, rows func() *table) error {
	switch format := c.String("output"); format {
	case outputJSON:
		return printJSON(c, reply)
	case outputTable:
		return rows().print(c)
	default:
		return wrongUsage("--output %q; allowed: table or json", format)
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
	fmt.Fprintln(w, strings.ToUpper(strings.Join(t.head, "\t")))
	for _, row := range t.rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

// opsText returns ops on one line.
func opsText(ops []tree.Op) string {
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
			parts = append(parts, fmt.Sprintf("%s %s=%s", o.Path, o.Key, shorten(string(o.Value))))
		}
	}
	return strings.Join(parts, "; ")
}

// maxCell bounds values in tables; --output json shows them whole.
const maxCell = 60

func shorten(s string) string {
	runes := []rune(s)
	if len(runes) <= maxCell {
		return s
	}
	return string(runes[:maxCell-3]) + "..."
}

func timeText(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.UTC().Format(time.RFC3339)
}

// originText says where a value comes from.
func originText(o tree.Origin) string {
	switch {
	case o.Preset != "":
		return "preset " + o.Preset
	case o.Default:
		return "default"
	}
	return fmt.Sprintf("%s (%s)", o.Path, o.Level)
}
