package peerpb

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"
)

// updateGolden writes the messages of this build. It is used in a checkout of a landed
// build only, to which this file is copied: go test ./pkg/peer/peerpb -golden COMMIT.
var updateGolden = flag.String("golden", "", "name of the build whose messages are written")

// fill sets every field of a message to a value that depends on its number.
func fill(m protoreflect.Message, depth int) {
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		if field.IsList() {
			list := m.Mutable(field).List()
			list.Append(fillValue(list.NewElement(), field, depth))
			continue
		}
		m.Set(field, fillValue(m.NewField(field), field, depth))
	}
}

func fillValue(v protoreflect.Value, field protoreflect.FieldDescriptor, depth int) protoreflect.Value {
	n := int64(field.Number()) + int64(depth)
	switch field.Kind() {
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(true)
	case protoreflect.EnumKind:
		return protoreflect.ValueOfEnum(1)
	case protoreflect.Uint32Kind, protoreflect.Fixed32Kind:
		return protoreflect.ValueOfUint32(uint32(n))
	case protoreflect.Uint64Kind, protoreflect.Fixed64Kind:
		return protoreflect.ValueOfUint64(uint64(n))
	case protoreflect.Int32Kind:
		return protoreflect.ValueOfInt32(int32(n))
	case protoreflect.Int64Kind:
		return protoreflect.ValueOfInt64(n)
	case protoreflect.DoubleKind:
		return protoreflect.ValueOfFloat64(float64(n))
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(fmt.Sprint("text-", n))
	case protoreflect.BytesKind:
		return protoreflect.ValueOfBytes(fmt.Append(nil, "bytes-", n))
	case protoreflect.MessageKind:
		fill(v.Message(), depth+1)
		return v
	default:
		panic(field.Kind().String())
	}
}

// Guards against a build that does not understand the messages of an older one, as while
// instances are replaced one after the other: every field that the older build knows keeps
// its meaning, and fields that it does not know are absent.
func TestMessagesOfOlderBuilds(t *testing.T) {
	if *updateGolden != "" {
		writeGolden(t, filepath.Join("testdata", *updateGolden))
		return
	}
	files, err := filepath.Glob("testdata/*/*.bin")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(file, func(t *testing.T) {
			golden, err := os.ReadFile(file)
			require.NoError(t, err)
			name := protoreflect.Name(filepath.Base(file[:len(file)-len(".bin")]))
			descriptor := File_pkg_peer_peerpb_peer_proto.Messages().ByName(name)
			require.NotNil(t, descriptor, "the message no longer exists")
			decoded, filled := newMessage(descriptor), newMessage(descriptor)
			require.NoError(t, proto.Unmarshal(golden, decoded.Interface()))
			require.Empty(t, decoded.GetUnknown(), "fields that no longer exist")
			fill(filled, 0)
			clearAbsent(decoded, filled)
			require.True(t, proto.Equal(filled.Interface(), decoded.Interface()), "%v", decoded.Interface())
		})
	}
}

func writeGolden(t *testing.T, dir string) {
	require.NoError(t, os.MkdirAll(dir, 0o755))
	messages := File_pkg_peer_peerpb_peer_proto.Messages()
	for i := range messages.Len() {
		m := newMessage(messages.Get(i))
		fill(m, 0)
		text, err := proto.MarshalOptions{Deterministic: true}.Marshal(m.Interface())
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(filepath.Join(dir, string(messages.Get(i).Name())+".bin"), text, 0o644))
	}
}

// clearAbsent clears the fields of filled that decoded does not have.
func clearAbsent(decoded, filled protoreflect.Message) {
	fields := filled.Descriptor().Fields()
	for i := range fields.Len() {
		switch field := fields.Get(i); {
		case !decoded.Has(field):
			filled.Clear(field)
		case field.IsList() && field.Message() != nil:
			clearAbsent(decoded.Get(field).List().Get(0).Message(), filled.Get(field).List().Get(0).Message())
		case field.Message() != nil:
			clearAbsent(decoded.Get(field).Message(), filled.Get(field).Message())
		}
	}
}

func newMessage(d protoreflect.MessageDescriptor) protoreflect.Message {
	t, err := protoregistry.GlobalTypes.FindMessageByName(d.FullName())
	if err != nil {
		panic(err) // cannot happen: the generated code registers its messages
	}
	return t.New()
}
