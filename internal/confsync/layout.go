package confsync

import (
	"fmt"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"mallowlatch.example/mallowlatch/internal/catalog"
	"mallowlatch.example/mallowlatch/internal/confsync/confsyncpb"
	"mallowlatch.example/mallowlatch/internal/failure"
)

// ErrCorrupt reports that a record cannot be decoded.
const ErrCorrupt = failure.Kind("confsync: corrupt record")

// Key layout in the key-value service. The head and the resources share a prefix, so that one listing reads both at the same
// revision. Change keys are zero-padded decimal revisions, so that the prefix without the last two digits lists a block of a
// hundred changes.
const (
	statePrefix    = "mallowlatch/config/state/"
	headKey        = statePrefix + "head"
	resourcePrefix = statePrefix + "resources/"
	changePrefix   = "mallowlatch/config/changes/"

	changeDigits   = 16
	blockDigits    = 2
	changesInBlock = 100
)

func resourceKey(key Key) string { return resourcePrefix + string(key.Kind) + "/" + key.Name }

func changeKey(revision int64) string {
	return fmt.Sprintf("%s%0*d", changePrefix, changeDigits, revision)
}

// blockPrefix returns the key prefix of the block of a hundred changes that contains the revision.
func blockPrefix(revision int64) string {
	key := changeKey(revision)
	return key[:len(key)-blockDigits]
}

func isResourceKey(key string) bool { return strings.HasPrefix(key, resourcePrefix) }

// encode marshals a message of this package. Marshalling these messages cannot fail, so it panics on an error.
func encode(message proto.Message) []byte {
	encoded, err := proto.Marshal(message)
	if err != nil {
		panic("confsync: marshal: " + err.Error())
	}
	return encoded
}

func decode(encoded []byte, message proto.Message) error {
	if err := proto.Unmarshal(encoded, message); err != nil {
		return fmt.Errorf("decode: %v: %w", err, ErrCorrupt)
	}
	return nil
}

func resourceToWire(resource Resource) *confsyncpb.Resource {
	return &confsyncpb.Resource{
		Kind:     string(resource.Kind),
		Name:     resource.Name,
		Revision: resource.Revision,
		Value:    resource.Value,
		Deleted:  resource.Deleted,
	}
}

func resourceFromWire(wire *confsyncpb.Resource) Resource {
	return Resource{
		Kind:     catalog.Kind(wire.GetKind()),
		Name:     wire.GetName(),
		Revision: wire.GetRevision(),
		Value:    wire.GetValue(),
		Deleted:  wire.GetDeleted(),
	}
}

func resourcesToWire(resources []Resource) []*confsyncpb.Resource {
	wire := make([]*confsyncpb.Resource, 0, len(resources))
	for _, resource := range resources {
		wire = append(wire, resourceToWire(resource))
	}
	return wire
}

func resourcesFromWire(wire []*confsyncpb.Resource) []Resource {
	resources := make([]Resource, 0, len(wire))
	for _, resource := range wire {
		resources = append(resources, resourceFromWire(resource))
	}
	return resources
}

func changeToWire(change Change) *confsyncpb.Change {
	wire := &confsyncpb.Change{
		Revision:         change.Revision,
		Id:               change.ID,
		Author:           change.Author,
		Comment:          change.Comment,
		UnixMilliseconds: change.At.UnixMilli(),
		Chain:            change.Chain,
	}
	for _, changed := range change.Resources {
		entry := &confsyncpb.ChangedResource{Resource: resourceToWire(changed.Resource)}
		if changed.Previous != nil {
			entry.Previous = resourceToWire(*changed.Previous)
		}
		wire.Resources = append(wire.Resources, entry)
	}
	return wire
}

func changeFromWire(wire *confsyncpb.Change) Change {
	change := Change{
		Revision: wire.GetRevision(),
		ID:       wire.GetId(),
		Author:   wire.GetAuthor(),
		Comment:  wire.GetComment(),
		At:       time.UnixMilli(wire.GetUnixMilliseconds()).UTC(),
		Chain:    wire.GetChain(),
	}
	for _, entry := range wire.GetResources() {
		changed := ChangedResource{Resource: resourceFromWire(entry.GetResource())}
		if entry.GetPrevious() != nil {
			previous := resourceFromWire(entry.GetPrevious())
			changed.Previous = &previous
		}
		change.Resources = append(change.Resources, changed)
	}
	return change
}

func decodeChange(encoded []byte) (Change, error) {
	var wire confsyncpb.Change
	if err := decode(encoded, &wire); err != nil {
		return Change{}, err
	}
	return changeFromWire(&wire), nil
}

// withoutPrevious returns the change without previous resources, as nodes store and exchange it.
func (c Change) withoutPrevious() Change {
	stripped := c
	stripped.Resources = make([]ChangedResource, len(c.Resources))
	for i, changed := range c.Resources {
		stripped.Resources[i] = ChangedResource{Resource: changed.Resource}
	}
	return stripped
}
