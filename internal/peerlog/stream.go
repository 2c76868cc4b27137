package peerlog

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	// maxFrameBytes is the maximum size of a frame. The largest are appends of records that hold a large configuration.
	maxFrameBytes = 32 << 20
	// maxKeptAttachments is the maximum number of received attachments that wait for their calls. Attachments of calls that were
	// given up are never taken; when there are too many, the oldest is dropped.
	maxKeptAttachments = 32
	// maxIdleBufferBytes is the capacity up to which the receive buffer is kept between messages.
	maxIdleBufferBytes = 64 << 10
)

// frameKind is the first byte of a frame; the uvarint length and the content follow.
type frameKind byte

const (
	frameMessage    frameKind = 'm' // a JSON-RPC message
	frameAttachment frameKind = 'a' // the uvarint ID of an attachment and its data
)

// attachmentID identifies an attachment on its connection; 0 means none.
type attachmentID uint64

// stream is a jsonrpc2.ObjectStream of messages with attachments. An attachment holds the records of a response. It is sent as it is
// before the response that names it, because the RPC library decodes each message several times.
type stream struct {
	conn io.ReadWriteCloser
	r    *bufio.Reader
	buf  bytes.Buffer // content of the message that is read

	guard *guard // bounds the messages of a peer that calls this host; nil on connections to peers

	writeMu sync.Mutex
	w       *bufio.Writer
	lastID  attachmentID

	mu       sync.Mutex
	received map[attachmentID][]byte // attachments that no call has taken
}

func newStream(conn io.ReadWriteCloser) *stream {
	return &stream{conn: conn, r: bufio.NewReader(conn), w: bufio.NewWriter(conn), received: map[attachmentID][]byte{}}
}

// WriteObject implements jsonrpc2.ObjectStream.
func (s *stream) WriteObject(obj any) error {
	data, err := json.Marshal(obj)
	if err != nil {
		return err
	}
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	if err := s.writeFrame(frameMessage, nil, data); err != nil {
		return err
	}
	return s.w.Flush()
}

// attach sends data ahead of the response that will name the returned ID.
func (s *stream) attach(data []byte) (attachmentID, error) {
	if len(data) == 0 {
		return 0, nil
	}
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	s.lastID++
	return s.lastID, s.writeFrame(frameAttachment, binary.AppendUvarint(nil, uint64(s.lastID)), data)
}

// writeFrame writes a frame with the given content into the send buffer. The caller holds s.writeMu.
func (s *stream) writeFrame(kind frameKind, prefix, data []byte) error {
	header := binary.AppendUvarint([]byte{byte(kind)}, uint64(len(prefix)+len(data)))
	for _, b := range [][]byte{header, prefix, data} {
		if _, err := s.w.Write(b); err != nil {
			return err
		}
	}
	return nil
}

// ReadObject implements jsonrpc2.ObjectStream. It keeps the attachments that precede the message.
func (s *stream) ReadObject(v any) error {
	if s.guard != nil {
		return s.readGuarded(v)
	}
	for {
		kind, n, err := s.readHeader()
		if err != nil {
			return err
		}
		if err := s.readContent(n); err != nil {
			return err
		}
		if kind == frameMessage {
			return json.Unmarshal(s.buf.Bytes(), v)
		}
		if err := s.keepAttachment(s.buf.Bytes()); err != nil {
			return err
		}
	}
}

// readGuarded is ReadObject for messages of a peer that calls this host.
func (s *stream) readGuarded(v any) error {
	s.guard.discard()
	s.guard.awaitFrame()
	kind, n, err := s.readHeader()
	if err != nil {
		return err
	}
	if kind != frameMessage {
		return errors.New("peerlog: the peer sent an attachment without a response; it may run another version")
	}
	data, err := s.guard.read(s.r, n)
	if err == nil {
		err = json.Unmarshal(data, v)
	}
	if err != nil {
		s.guard.discard()
	}
	return err
}

// readHeader reads the kind and the length of a frame.
func (s *stream) readHeader() (frameKind, int64, error) {
	b, err := s.r.ReadByte()
	if err != nil {
		return 0, 0, err
	}
	kind := frameKind(b)
	if kind != frameMessage && kind != frameAttachment {
		return 0, 0, errors.Newf("peerlog: the peer sent a frame of the unknown kind %d; it may run another version", b)
	}
	n, err := binary.ReadUvarint(s.r)
	if err != nil {
		return 0, 0, err
	}
	if n > maxFrameBytes {
		return 0, 0, errors.Newf("peerlog: the peer sent a frame of %d bytes, more than %d; it may run another version", n, maxFrameBytes)
	}
	return kind, int64(n), nil
}

// readContent reads the content of a frame into s.buf.
func (s *stream) readContent(n int64) error {
	s.buf.Reset()
	if s.buf.Cap() > maxIdleBufferBytes {
		s.buf = bytes.Buffer{}
	}
	_, err := io.CopyN(&s.buf, s.r, n) // the buffer grows with the data that has arrived
	return err
}

// keepAttachment keeps the attachment in the content of a frame until a call takes it.
func (s *stream) keepAttachment(content []byte) error {
	id, n := binary.Uvarint(content)
	if n <= 0 {
		return errors.New("peerlog: the peer sent an attachment without an ID")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received[attachmentID(id)] = bytes.Clone(content[n:])
	if len(s.received) > maxKeptAttachments {
		oldest := attachmentID(id)
		for id := range s.received {
			oldest = min(oldest, id)
		}
		delete(s.received, oldest)
	}
	return nil
}

// take returns the attachment that a received response names. It must be called once for each response.
func (s *stream) take(id attachmentID) ([]byte, error) {
	if id == 0 {
		return nil, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	data, ok := s.received[id]
	if !ok {
		return nil, errors.Newf("peerlog: the attachment %d of a response is missing", id)
	}
	delete(s.received, id)
	return data, nil
}

// Close implements jsonrpc2.ObjectStream.
func (s *stream) Close() error { return s.conn.Close() }
