package memory

import (
	"bytes"
	"io"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/fault"
)

// TestBudgetHoldsUnderAnyOrder guards against bodies that exceed the budget together, against room that is
// lost when they end, and against large bodies that leave no room to small ones or to another owner.
func TestBudgetHoldsUnderAnyOrder(t *testing.T) {
	const limit = 64 << 20
	for seed := range uint64(20) {
		is := is.New(t)
		rng := rand.New(rand.NewPCG(seed, 1))
		b := NewBudget(limit)
		var open []*Charge
		refused := 0
		for range 2000 {
			if len(open) > 0 && rng.IntN(3) == 0 {
				i := rng.IntN(len(open))
				open[i].Release()
				open[i].Release() // a second release is harmless
				open = append(open[:i], open[i+1:]...)
				continue
			}
			c := b.Begin(strconv.Itoa(rng.IntN(3)))
			for size := rng.Int64N(8 << 20); size >= c.size; size += rng.Int64N(2 << 20) {
				if err := c.Resize(size); err != nil {
					is.True(fault.Is(err, fault.Overloaded))
					refused++
					break
				}
				if rng.IntN(2) == 0 {
					break
				}
			}
			open = append(open, c)
			held, owned := int64(0), map[string]int64{}
			for _, c := range open {
				held += copies * c.size
				owned[c.owner] += copies * largeSize(c.size)
			}
			is.Equal(held, b.Held())
			is.True(held <= limit)
			for _, size := range owned {
				is.True(size <= limit*3/4)
			}
			small := b.Begin("small")
			is.NoErr(small.Resize(SmallBytes)) // there is always room for a few small ones
			small.Release()
			ordinary := b.Begin("small")
			is.NoErr(ordinary.Resize(OrdinaryBytes)) // and more for ordinary ones
			ordinary.Release()
		}
		is.True(refused > 0)
		for _, c := range open {
			c.Release()
		}
		is.Equal(b.Held(), int64(0))
		is.Equal(len(b.byOwner), 0)
	}
}

// TestOrdinaryChargesHaveRoom guards against charges of one size that leave no room to smaller ones.
func TestOrdinaryChargesHaveRoom(t *testing.T) {
	is := is.New(t)
	b := NewBudget(8 << 20)
	for _, size := range []int64{256 << 10, SmallBytes, OrdinaryBytes} {
		filled := 0
		for i := 0; b.Begin(strconv.Itoa(i)).Resize(size) == nil; i++ {
			filled++
		}
		is.True(filled > 0)
	}
}

// TestBudgetFitsHost guards against a budget that a small host cannot hold.
func TestBudgetFitsHost(t *testing.T) {
	is := is.New(t)
	is.Equal(within(128<<20, 136<<20), int64(68<<20))
	is.Equal(within(64<<20, 280<<20), int64(64<<20))
	is.Equal(within(128<<20, 0), int64(128<<20)) // not known
	is.Equal(WithinHost(0), int64(0))
	is.True(hostMemory() > 0)
}

// TestReadBody guards against a body that is read before it is charged, and against one that is cut or
// changed on the way, whether or not it states its length.
func TestReadBody(t *testing.T) {
	text := strings.Repeat("0123456789", 30_000)
	for _, length := range []int64{-1, int64(len(text))} {
		is := is.New(t)
		b := NewBudget(4 << 20)
		c := b.Begin("a")
		body, err := ReadBody(iotest.HalfReader(strings.NewReader(text)), length, c)
		is.NoErr(err)
		is.True(string(body) == text)
		is.True(b.Held() >= copies*int64(cap(body)))
		_, err = ReadBody(io.MultiReader(strings.NewReader(text[:1000]), iotest.ErrReader(io.ErrClosedPipe)), length, b.Begin("b"))
		is.Equal(err, io.ErrClosedPipe)

		narrow := NewBudget(300 << 10)
		source := &countingReader{Reader: strings.NewReader(text)}
		_, err = ReadBody(source, length, narrow.Begin("a"))
		is.True(fault.Is(err, fault.Overloaded))
		is.True(length < 0 || source.read == 0)
		is.True(copies*source.read <= 300<<10)
	}
	is := is.New(t)
	_, err := ReadBody(strings.NewReader(text[:10]), 20, NewBudget(0).Begin("a"))
	is.Equal(err, io.ErrUnexpectedEOF)
	body, err := ReadBody(bytes.NewReader(nil), -1, (*Budget)(nil).Begin("a"))
	is.NoErr(err)
	is.Equal(len(body), 0)
}

type countingReader struct {
	io.Reader
	read int
}

func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.read += n
	return n, err
}
