// Package connectrpc gives the connect protocol's own refusals the numbered result
// codes that all others have: a message that can't be read, and one that is too
// large.
package connectrpc

import (
	"connectrpc.com/connect"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"lavenderpond/core"
)

// Options makes a handler name the numbered code of a message that can't be read.
func Options() connect.HandlerOption {
	return connect.WithHandlerOptions(connect.WithCodec(protoCodec{}), connect.WithCodec(jsonCodec{}))
}

// protoCodec is the binary codec, by the protobuf library.
type protoCodec struct{}

// Name implements connect.Codec.
func (protoCodec) Name() string { return "proto" }

// Marshal implements connect.Codec.
func (protoCodec) Marshal(v any) ([]byte, error) { return proto.Marshal(v.(proto.Message)) }

// Unmarshal implements connect.Codec.
func (protoCodec) Unmarshal(data []byte, v any) error {
	return malformed(proto.Unmarshal(data, v.(proto.Message)))
}

// jsonCodec is the JSON codec, by the protobuf library. A misspelt field is an
// error: it would otherwise be dropped in silence, and with it what the caller
// meant.
type jsonCodec struct{}

// Name implements connect.Codec.
func (jsonCodec) Name() string { return "json" }

// Marshal implements connect.Codec.
func (jsonCodec) Marshal(v any) ([]byte, error) { return protojson.Marshal(v.(proto.Message)) }

// Unmarshal implements connect.Codec.
func (jsonCodec) Unmarshal(data []byte, v any) error {
	return malformed(protojson.Unmarshal(data, v.(proto.Message)))
}

func malformed(err error) error {
	if err == nil {
		return nil
	}
	return core.Errorf(core.CodeMalformed, "%v", err)
}
