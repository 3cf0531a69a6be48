package memory

import "io"

// firstRead is the initial size of the buffer for a body without a stated length, in bytes.
const firstRead = 4 << 10

// ReadBody reads a body to its end. A body that states its length is charged before anything of it is
// read, any other one as it grows; length is negative for the latter. The error of the charge is
// returned as it is.
func ReadBody(r io.Reader, length int64, c *Charge) ([]byte, error) {
	if length >= 0 {
		if err := c.Resize(length); err != nil {
			return nil, err
		}
		body := make([]byte, length)
		_, err := io.ReadFull(r, body)
		return body, err
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			size := max(firstRead, 2*cap(body))
			if err := c.Resize(int64(size)); err != nil {
				return nil, err
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}
