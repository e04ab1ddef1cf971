package entry

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"lentilpin/pkg/events"
)

const cataloguePath = "../../docs/events.md"

const catalogueHead = `# Log events

Every log line is a JSON object with the members ` + "`event`" + ` (number), ` + "`name`" + `, ` + "`level`" + `, ` + "`time`" + `, ` + "`msg`" + ` and the fields of the event. Numbers never change their meaning. Events marked with * are also entries of the audit trail, which ` + "`lentilpinctl audit`" + ` shows.

This page is made from the code: ` + "`make events`" + `. A test compares the two.

| number | name | level | text |
| --- | --- | --- | --- |
`

// Guards against an event catalogue that differs from the events in the code.
// The test belongs here because this package imports every package that declares
// events.
func TestCatalogueMatchesTheCode(t *testing.T) {
	var b strings.Builder
	b.WriteString(catalogueHead)
	for _, e := range events.All() {
		mark := ""
		if e.Change {
			mark = "*"
		}
		fmt.Fprintf(&b, "| %d%s | `%s` | %s | %s |\n", e.Number, mark, e.Name, e.Level, e.Text)
	}
	if os.Getenv("UPDATE_EVENTS") != "" {
		require.NoError(t, os.WriteFile(cataloguePath, []byte(b.String()), 0o644))
	}
	page, err := os.ReadFile(cataloguePath)
	require.NoError(t, err)
	require.Equal(t, b.String(), string(page), "run make events")
}
