package upstream

import (
	"io"
	"net"
	"net/http"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// writeErrors is a writer that keeps the first error of the writer below, which
// http.Request.Write does not wrap.
type writeErrors struct {
	io.Writer
	first error
}

// Write implements io.Writer.
func (w *writeErrors) Write(p []byte) (int, error) {
	n, err := w.Writer.Write(p)
	if err != nil && w.first == nil {
		w.first = err
	}
	return n, err
}

// send writes the request and returns the error of the connection, or another error of
// writing it.
func (x *Exchange) send(request *http.Request) error {
	w := &writeErrors{Writer: x.conn}
	if err := request.Write(w); err != nil && w.first == nil {
		return err
	}
	return w.first
}

// closeFramedBody is a body that ends with its connection. The kernel reports that a
// connection was reset once; if a write of the request's body has got this error, a read
// gets io.EOF.
type closeFramedBody struct {
	io.ReadCloser
	exchange *Exchange
}

// Read implements io.Reader. It returns io.ErrUnexpectedEOF if the connection was reset.
func (b *closeFramedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && ClosedByKernel(b.exchange.conn.Conn) && b.exchange.writeWasReset() {
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

// endsWithConnection reports whether nothing but the end of the connection marks the end of
// an answer's body.
func endsWithConnection(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0
}

// writeWasReset waits for the end of the write of the request, and reports whether it has
// failed for another reason than an earlier error of the connection (EPIPE). It must only
// be called if the connection is closed, so that the write ends.
func (x *Exchange) writeWasReset() bool {
	err := <-x.written
	x.written <- err
	return IsReset(err)
}

// IsReset reports whether an error of a write to a connection that the kernel has closed
// means that it was reset before its other end had ended it in order. After such an end the
// write gets EPIPE.
func IsReset(err error) bool { return err != nil && !errors.Is(err, syscall.EPIPE) }

// tcpClose is the state of a connection that was reset or has timed out (TCP_CLOSE).
const tcpClose = 7

// ClosedByKernel reports whether a connection was reset or has timed out. Reads and writes
// that wait then return. It is false for connections without a socket.
func ClosedByKernel(conn net.Conn) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = infoErr == nil && info.State == tcpClose
	})
	return err == nil && closed
}
