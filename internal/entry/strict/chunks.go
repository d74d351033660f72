package strict

// maxChunkLineBytes limits a line of the framing of chunks. net/http accepts fewer bytes.
const maxChunkLineBytes = 8 << 10

// chunkState is what a chunkScanner expects next.
type chunkState int

const (
	chunkSize chunkState = iota
	chunkSizeLF
	chunkData
	chunkDataCR
	chunkDataLF
	trailer
	trailerLF
	// chunksEnd means that the body has ended, chunksInvalid that its framing is one that implementations could read in different ways.
	chunksEnd
	chunksInvalid
)

// chunkScanner finds the end of a body in chunks. The zero value is at its start.
type chunkScanner struct {
	state chunkState
	// size is what remains of the current chunk, digits the number of digits of its size, lineBytes the length of the current line.
	size              int64
	digits, lineBytes int
	hasExtension      bool
}

// maxSizeDigits is the number of digits of the largest size that is accepted, 16 TiB.
const maxSizeDigits = 11

// scan reads p up to the end of the body and returns the number of bytes that belong to the body.
func (s *chunkScanner) scan(p []byte) int {
	for i := 0; i < len(p); i++ {
		switch s.state {
		case chunksEnd, chunksInvalid:
			return i
		case chunkData:
			n := min(s.size, int64(len(p)-i))
			s.size -= n
			i += int(n) - 1
			if s.size == 0 {
				s.state = chunkDataCR
			}
		default:
			s.state = s.next(p[i])
		}
	}
	return len(p)
}

// next returns the state after a byte of the framing.
func (s *chunkScanner) next(b byte) chunkState {
	if s.lineBytes++; s.lineBytes > maxChunkLineBytes {
		return chunksInvalid
	}
	switch s.state {
	case chunkSize:
		return s.nextOfSize(b)
	case chunkSizeLF:
		return s.expect(b, '\n', s.afterSize())
	case chunkDataCR:
		return s.expect(b, '\r', chunkDataLF)
	case chunkDataLF:
		return s.expect(b, '\n', chunkSize)
	case trailer:
		if b == '\r' {
			return trailerLF
		}
		if b == '\n' {
			return chunksInvalid
		}
		return trailer
	case trailerLF:
		const emptyLine = len("\r\n")
		if s.lineBytes == emptyLine {
			return s.expect(b, '\n', chunksEnd)
		}
		return s.expect(b, '\n', trailer)
	}
	return chunksInvalid
}

// nextOfSize returns the state after a byte of the line that begins a chunk.
func (s *chunkScanner) nextOfSize(b byte) chunkState {
	digit, isDigit := hexDigit(b)
	switch {
	case b == '\r' && s.digits > 0:
		return chunkSizeLF
	case b == ';' && s.digits > 0:
		s.hasExtension = true
	case s.hasExtension && b != '\r' && b != '\n':
	case isDigit && s.digits < maxSizeDigits:
		s.size, s.digits = s.size<<4|digit, s.digits+1
	default:
		return chunksInvalid
	}
	return chunkSize
}

// afterSize returns the state after the line that begins a chunk. The last chunk has no data.
func (s *chunkScanner) afterSize() chunkState {
	if s.size == 0 {
		return trailer
	}
	return chunkData
}

// expect returns next if b is want. A line ends with a line feed.
func (s *chunkScanner) expect(b, want byte, next chunkState) chunkState {
	if b != want {
		return chunksInvalid
	}
	if b == '\n' {
		s.lineBytes, s.digits, s.hasExtension = 0, 0, false
	}
	return next
}

func hexDigit(b byte) (int64, bool) {
	switch {
	case b >= '0' && b <= '9':
		return int64(b - '0'), true
	case b >= 'a' && b <= 'f':
		return int64(b-'a') + 10, true
	case b >= 'A' && b <= 'F':
		return int64(b-'A') + 10, true
	}
	return 0, false
}
