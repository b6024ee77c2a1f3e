// Package connectrpc gives numbered result codes to the errors that connect handlers
// return before a service method runs: a message can't be decoded, or it is too large.
package connectrpc

import (
	"connectrpc.com/connect"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"lavenderpond/core"
)

// Options returns the codecs of a handler. Their errors carry a numbered result code if a
// message can't be decoded.
func Options() connect.HandlerOption {
	return connect.WithHandlerOptions(connect.WithCodec(protoCodec{}), connect.WithCodec(jsonCodec{}))
}

// protoCodec is the binary codec. It uses the protobuf library.
type protoCodec struct{}

// Name implements connect.Codec.
func (protoCodec) Name() string { return "proto" }

// Marshal implements connect.Codec.
func (protoCodec) Marshal(v any) ([]byte, error) { return proto.Marshal(v.(proto.Message)) }

// Unmarshal implements connect.Codec.
func (protoCodec) Unmarshal(data []byte, v any) error {
	return malformed(proto.Unmarshal(data, v.(proto.Message)))
}

// jsonCodec is the JSON codec. It uses the protobuf library. An unknown field is an error,
// because ignoring a misspelt field would silently drop what the caller meant.
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
