// Command protodeps writes the descriptors that cell.proto imports to standard output, for
// protoc's --descriptor_set_in. The validation rules come as a Go module, which does not
// include their .proto source.
package main

import (
	"fmt"
	"os"

	validate "buf.build/gen/go/bufbuild/protovalidate/protocolbuffers/go/buf/validate"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/descriptorpb"
)

func main() {
	set := &descriptorpb.FileDescriptorSet{}
	addFile(set, map[string]bool{}, validate.File_buf_validate_validate_proto)
	raw, err := proto.Marshal(set)
	if err == nil {
		_, err = os.Stdout.Write(raw)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// addFile adds a file to the set, after all files that it imports.
func addFile(set *descriptorpb.FileDescriptorSet, added map[string]bool, file protoreflect.FileDescriptor) {
	if added[file.Path()] {
		return
	}
	added[file.Path()] = true
	imports := file.Imports()
	for i := range imports.Len() {
		addFile(set, added, imports.Get(i).FileDescriptor)
	}
	set.File = append(set.File, protodesc.ToFileDescriptorProto(file))
}
