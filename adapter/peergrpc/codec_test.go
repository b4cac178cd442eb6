package peergrpc

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc/mem"

	peerv1 "github.com/bulrushrelay/bulrushrelay/api/peer/v1"
)

// Guards against messages that are corrupted or share memory at the boundaries of the buffer sizes when buffers are
// reused.
func TestMessageCodecAtBufferSizes(t *testing.T) {
	codec := newMessageCodec()
	for range 2 {
		var encoded []mem.BufferSlice
		sizes := []int{0, 1, minPooledBufferBytes - 4, minPooledBufferBytes, minPooledBufferBytes + 1, 32 << 10, 100_000, MaxMessageBytes, MaxMessageBytes + 1}
		for i, size := range sizes {
			slice, err := codec.Marshal(&peerv1.Request{Body: bytes.Repeat([]byte{byte(i + 1)}, size)})
			require.NoError(t, err)
			encoded = append(encoded, slice)
		}
		for i, size := range sizes {
			var got peerv1.Request
			require.NoError(t, codec.Unmarshal(encoded[i], &got))
			require.True(t, bytes.Equal(bytes.Repeat([]byte{byte(i + 1)}, size), got.GetBody()), "size %d", size)
			encoded[i].Free()
		}
	}
	_, err := codec.Marshal("no message")
	require.Error(t, err)
	require.Equal(t, "proto", codec.Name())
}
