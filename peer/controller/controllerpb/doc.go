// Package controllerpb holds the protobuf messages of package peer/controller. The code is
// generated; PBTOOLS is a folder with protoc-gen-go and protoc-gen-go-drpc,
// built from the tools that go.mod declares.
package controllerpb

//go:generate protoc --plugin=$PBTOOLS/protoc-gen-go --plugin=$PBTOOLS/protoc-gen-go-drpc --go_out=. --go_opt=paths=source_relative --go-drpc_out=. --go-drpc_opt=paths=source_relative controller.proto
