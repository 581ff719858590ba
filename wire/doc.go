// Package wire is the protocol between the system's own processes: protobuf
// messages and drpc services. It holds no decisions. wire.proto is the source
// of the generated files.
package wire

//go:generate protoc --go_out=.. --go_opt=module=waxwingtide.example/waxwingtide --go-drpc_out=.. --go-drpc_opt=module=waxwingtide.example/waxwingtide wire.proto
