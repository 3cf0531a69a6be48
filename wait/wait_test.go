package wait

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestForReturnsAfterDurationOrCancellation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		began := time.Now()
		For(t.Context(), time.Minute)
		is.Equal(time.Since(began), time.Minute)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		For(ctx, time.Hour)
		is.Equal(time.Since(began), time.Minute+time.Second)
		For(t.Context(), 0)
		is.Equal(time.Since(began), time.Minute+time.Second)
	})
}
