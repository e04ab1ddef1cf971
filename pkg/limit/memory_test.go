package limit_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lentilpin/pkg/limit"
)

// Guards against requests that hold memory and are all refused, that wait for each other,
// and against memory that is lost when a request stops waiting.
func TestOneOfThoseThatCompeteGrows(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(t *testing.T) {
			size := rapid.Int64Range(1, 64).Draw(rt, "size")
			m := limit.NewMemory(size)
			ctx, cancel := context.WithCancel(t.Context())
			waiting := 0
			var served atomic.Int32
			for range rapid.IntRange(1, 12).Draw(rt, "requests") {
				first := rapid.Int64Range(1, 64).Draw(rt, "first")
				last := rapid.Int64Range(first, 2*size+64).Draw(rt, "last")
				gaveUp, giveUp := context.WithCancel(ctx)
				waiting++
				go func() {
					held, err := m.Take(gaveUp, first)
					if err != nil {
						return
					}
					time.Sleep(time.Millisecond) // until all that can hold memory hold some
					if held, err = m.Grow(ctx, held, last); err == nil {
						served.Add(1)
					}
					time.Sleep(time.Millisecond) // a refusal is sent before the memory is released
					m.Release(held)
				}()
				if rapid.IntRange(0, 4).Draw(rt, "gives up") == 0 {
					giveUp()
					waiting-- // may not have held memory
				}
				defer giveUp()
			}
			time.Sleep(time.Second)
			if waiting > 0 && served.Load() == 0 {
				rt.Fatalf("none of %d requests was served", waiting)
			}
			cancel()
			synctest.Wait()
			_, err := m.Take(t.Context(), size)
			require.NoError(t, err)
		})
	})
}
