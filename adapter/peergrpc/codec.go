package peergrpc

import (
	"fmt"

	"google.golang.org/grpc/encoding"
	"google.golang.org/grpc/encoding/proto"
	"google.golang.org/grpc/mem"
	protobuf "google.golang.org/protobuf/proto"
)

// minPooledBufferBytes is the size of the smallest pooled buffers.
const minPooledBufferBytes = 256

// messageCodec is the protobuf codec of gRPC with a pool that has a buffer size for every power of two. A client keeps
// the encoded message until the reply arrives, in case the connection refuses it. The default pool of gRPC has no
// buffer size between 32 KB and 1 MB, so that each pending request of 100 KB would occupy 1 MB.
type messageCodec struct {
	encoding.CodecV2
	buffers mem.BufferPool
}

func newMessageCodec() messageCodec {
	var sizes []int
	for size := minPooledBufferBytes; size <= MaxMessageBytes; size *= 2 {
		sizes = append(sizes, size)
	}
	return messageCodec{encoding.GetCodecV2(proto.Name), mem.NewTieredBufferPool(sizes...)}
}

// Marshal implements encoding.CodecV2.
func (c messageCodec) Marshal(v any) (mem.BufferSlice, error) {
	m, ok := v.(protobuf.Message)
	if !ok {
		return nil, fmt.Errorf("message of type %T is not a protobuf message", v)
	}
	size := protobuf.Size(m)
	if size < minPooledBufferBytes {
		data, err := protobuf.Marshal(m)
		return mem.BufferSlice{mem.SliceBuffer(data)}, err
	}
	buffer := c.buffers.Get(size)
	if _, err := (protobuf.MarshalOptions{UseCachedSize: true}).MarshalAppend((*buffer)[:0], m); err != nil {
		c.buffers.Put(buffer)
		return nil, err
	}
	return mem.BufferSlice{mem.NewBuffer(buffer, c.buffers)}, nil
}
