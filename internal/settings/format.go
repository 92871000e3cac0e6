package settings

import (
	"fmt"
	"net/netip"
	"reflect"
	"strings"
)

// format writes a value as one would write it in the file.
func format(value reflect.Value) string {
	if value.Kind() != reflect.Slice {
		return fmt.Sprint(value.Interface())
	}
	texts := make([]string, 0, value.Len())
	for index := range value.Len() {
		texts = append(texts, format(value.Index(index)))
	}
	return strings.Join(texts, ",")
}

// ephemeral says whether the system picks the port.
func ephemeral(address Address) bool {
	parsed, err := netip.ParseAddrPort(string(address))
	return err == nil && parsed.Port() == 0
}
