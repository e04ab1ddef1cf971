package entry

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"lentilpin/pkg/config/static"
)

// names collects the names of the events on a log stream.
type names struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write implements io.Writer.
func (n *names) Write(p []byte) (int, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.text.Write(p)
}

func (n *names) count(name string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return strings.Count(n.text.String(), name)
}

// Guards against a signal that ends the process or is ignored, a changed file that
// is not read because no signal came, and a wrong file that changes anything.
func TestSettingsFileIsReadAgain(t *testing.T) {
	text, err := os.ReadFile("../../demo/entry-1.json")
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), "entry.json")
	require.NoError(t, os.WriteFile(path, text, 0o600))
	conf, err := static.Load(path)
	require.NoError(t, err)
	log, lines := logrus.New(), &names{}
	log.SetOutput(lines)
	e := New(conf, log)
	defer func() {
		e.platform.Close()
		require.NoError(t, e.client.Close())
		require.NoError(t, e.metrics.Close())
	}()
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	defer done.Wait()
	defer cancel()
	signals := make(chan os.Signal)
	done.Go(func() { e.FollowSettings(ctx, path, static.Load, signals) })

	signals <- syscall.SIGHUP
	await := func(name string, n int) {
		for lines.count(name) < n {
			time.Sleep(time.Millisecond)
		}
	}
	await("settings_file_reloaded", 1)
	require.NoError(t, os.WriteFile(path, text[:len(text)/2], 0o600))
	await("settings_file_refused", 1)
	require.NoError(t, os.WriteFile(path, text, 0o600))
	await("settings_file_reloaded", 2)
	require.Equal(t, 1, lines.count("settings_file_refused"))
}
