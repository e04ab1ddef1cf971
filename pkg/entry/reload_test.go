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

// logBuffer collects log output, in which count finds event names. It is safe
// for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write implements io.Writer.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *logBuffer) count(name string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Count(b.text.String(), name)
}

// Guards against a SIGHUP that ends the process or is ignored, a changed settings
// file that is not reloaded unless a signal arrives, and an invalid file that
// takes effect.
func TestSettingsFileIsReloaded(t *testing.T) {
	text, err := os.ReadFile("../../demo/entry-1.json")
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), "entry.json")
	require.NoError(t, os.WriteFile(path, text, 0o600))
	conf, err := static.Load(path)
	require.NoError(t, err)
	logger, logged := logrus.New(), &logBuffer{}
	logger.SetOutput(logged)
	e := New(conf, logger)
	defer func() {
		e.platform.Close()
		require.NoError(t, e.peerClient.Close())
		require.NoError(t, e.metrics.Close())
	}()
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	signals := make(chan os.Signal)
	wg.Go(func() { e.WatchSettingsFile(ctx, path, static.Load, signals) })

	signals <- syscall.SIGHUP
	waitForEvent := func(name string, n int) {
		for logged.count(name) < n {
			time.Sleep(time.Millisecond)
		}
	}
	waitForEvent("settings_file_reloaded", 1)
	require.NoError(t, os.WriteFile(path, text[:len(text)/2], 0o600))
	waitForEvent("settings_file_refused", 1)
	require.NoError(t, os.WriteFile(path, text, 0o600))
	waitForEvent("settings_file_reloaded", 2)
	require.Equal(t, 1, logged.count("settings_file_refused"))
}
