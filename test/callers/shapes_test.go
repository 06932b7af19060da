package callers

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
)

// send writes as much of the texts as the daemon takes.
func send(c net.Conn, texts ...string) {
	for _, text := range texts {
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
	}
}

// chunks returns n chunks of the given size, each with an extension.
func chunks(n, size int, extension string) string {
	return strings.Repeat(fmt.Sprintf("%x%s\r\n%s\r\n", size, extension, strings.Repeat("x", size)), n)
}

const chunked = "Transfer-Encoding: chunked\r\n\r\n"

// Guards against memory that is allocated for an announced length before the body arrives.
func TestAnnouncedBodies(t *testing.T) {
	d := startDaemon(t)
	d.open(crowd, func(c net.Conn) {
		send(c, head("/order/1", fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBodyBytes)), "x")
	})
	d.check()
}

// Guards against bodies that stop one byte short and together exceed the memory.
func TestSentBodies(t *testing.T) {
	d := startDaemon(t)
	body := strings.Repeat("x", maxBodyBytes-1)
	d.open(crowd, func(c net.Conn) {
		send(c, head("/order/1", fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBodyBytes)), body)
	})
	d.check()
}

// Guards against the same in large chunks, whose total length is not known.
func TestLargeChunks(t *testing.T) {
	d := startDaemon(t)
	body := chunks(31, 64<<10, "") + fmt.Sprintf("%x\r\n", 64<<10) + strings.Repeat("x", 64<<10-1)
	d.open(crowd, func(c net.Conn) { send(c, head("/order/1", chunked), body) })
	d.check()
}

// Guards against the same in chunks of a few bytes.
func TestTinyChunks(t *testing.T) {
	d := startDaemon(t)
	body := chunks((maxBodyBytes-8)/4, 4, "")
	d.open(crowd, func(c net.Conn) { send(c, head("/order/1", chunked), body) })
	d.check()
}

// Guards against the same in chunks with extensions, which are no part of the body.
func TestChunkExtensions(t *testing.T) {
	d := startDaemon(t)
	body := chunks(127, 16<<10, ";name="+strings.Repeat("v", 2000))
	d.open(crowd, func(c net.Conn) { send(c, head("/order/1", chunked), body) })
	d.check()
}

// Guards against a body that is read to its end although its announced length is over the
// limit.
func TestFarOverAnnounced(t *testing.T) {
	d := startDaemon(t)
	part := strings.Repeat("x", maxBodyBytes)
	d.open(crowd, func(c net.Conn) {
		send(c, head("/order/1", fmt.Sprintf("Content-Length: %d\r\n\r\n", 100*maxBodyBytes)), part, part, part, part)
	})
	d.check()
}

// Guards against a body that is kept or read to its end although it grows over the limit.
func TestFarOverSent(t *testing.T) {
	d := startDaemon(t)
	part := chunks(32, 64<<10, "")
	d.open(crowd, func(c net.Conn) { send(c, head("/order/1", chunked), part, part, part, part) })
	d.check()
}

// Guards against connections that stay open with a part of a header.
func TestPartialHeaders(t *testing.T) {
	d := startDaemon(t)
	text := head("/order/1", "X-Long: "+strings.Repeat("x", maxHeaderBytes/2))
	d.open(largeCrowd, func(c net.Conn) { send(c, text) })
	d.check()
}

// Guards against connections that stay open and never send a request.
func TestSilentConnections(t *testing.T) {
	d := startDaemon(t)
	d.open(largeCrowd, func(net.Conn) {})
	d.check()
}

// Guards against callers that hold connections, also those to upstreams, because they never
// read their answer.
func TestAnswersNeverRead(t *testing.T) {
	d := startDaemon(t)
	d.open(largeCrowd, func(c net.Conn) { send(c, head("/stream/1", "Content-Length: 1\r\n\r\n"), "x") })
	d.check()
}
