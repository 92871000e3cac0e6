package settings

import (
	"github.com/spf13/cobra"
)

// Flags holds the values of the flags that BindFlags added.
type Flags struct {
	values []*flagValue
}

// BindFlags adds one flag for each field to the command, named as the field.
func BindFlags(command *cobra.Command) *Flags {
	flags := &Flags{}
	for _, field := range fields {
		value := &flagValue{field: field, text: field.Default}
		flags.values = append(flags.values, value)
		command.Flags().Var(value, field.Path, field.Doc)
	}
	return flags
}

// Overrides returns the flags that were given, in the order of the fields.
func (f *Flags) Overrides() []Override {
	var given []Override
	for _, value := range f.values {
		if value.given {
			given = append(given, Override{Field: value.field.Path, Value: value.text})
		}
	}
	return given
}

// flagValue keeps the text as given; Load parses it, so that every problem is reported at once.
type flagValue struct {
	field Field
	text  string
	given bool
}

// String returns the text of the flag.
func (v *flagValue) String() string { return v.text }

// Set keeps the text.
func (v *flagValue) Set(text string) error {
	v.text, v.given = text, true
	return nil
}

// Type names the type in usage texts.
func (v *flagValue) Type() string { return v.field.Type }
