package crowd

import (
	"encoding/binary"
	"fmt"
	"net"
)

// peerMessage is the kind of a frame that holds a message, see internal/peerlog.
const peerMessage = 'm'

// StartUnreadPeers lets clients connect to the address for other hosts and send calls there whose responses they don't read. Call i of a
// client has the given method and parameters, in JSON.
func StartUnreadPeers(addr, method, params string, calls, clients int) *Crowd {
	var frames []byte
	for i := range calls {
		message := fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"method":%q,"params":%s}`, i, method, params)
		frames = binary.AppendUvarint(append(frames, peerMessage), uint64(len(message)))
		frames = append(frames, message...)
	}
	c := &Crowd{}
	for range clients {
		c.sending.Go(func() {
			if c.sendUnread(addr, frames) {
				c.Sent.Add(1)
			} else {
				c.Failed.Add(1)
			}
		})
	}
	return c
}

// sendUnread connects with a small receive buffer and sends frames.
func (c *Crowd) sendUnread(addr string, frames []byte) bool {
	conn, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil || !c.add(conn) {
		return false
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(pieceBytes) // a larger one only delays what the test shows
	}
	_, err = conn.Write(frames)
	return err == nil
}
