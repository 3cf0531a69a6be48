package direct

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

func TestCheckListener(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := listener.Addr().String()
	c := NewClient(Config{})
	defer c.Close()
	is.Equal(c.CheckListener(t.Context(), addr), Listening)
	is.NoErr(listener.Close())
	is.Equal(c.CheckListener(t.Context(), addr), NotListening)
}
