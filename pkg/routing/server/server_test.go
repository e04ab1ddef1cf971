package server_test

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lentilpin/pkg/routing/server"
)

// Guards against a race in which a goroutine writes the usable bit from an older
// state, after which an idle backend server stays marked as full.
func TestIdleServerIsMarkedUsable(t *testing.T) {
	for range 20000 {
		s := server.New(server.Backend{Address: "a"}, true, server.NewServiceStats(time.Second), 1)
		l := server.NewList([]*server.Server{s}, 1)
		var wg sync.WaitGroup
		for range 4 {
			wg.Go(func() {
				for range 3 {
					if s.BeginAttempt() {
						s.EndAttempt(0, 0, server.Canceled)
					}
				}
			})
		}
		wg.Wait()
		require.True(t, l.Usable(0))
	}
}
