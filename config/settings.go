// Fields of messages set from an operator's text of the form "field=value".

package config

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// setFields sets fields of a message from settings of the form "field=value". A dot separates the name
// of a nested message from its field ("needs.cpus=4"), and commas separate the values of a list.
func setFields(m proto.Message, settings []string) error {
	if len(settings) == 0 {
		return errors.Newf("expected at least one field=value, got none; fields are: %s", fieldNames(m.ProtoReflect().Descriptor(), ""))
	}
	for _, s := range settings {
		name, value, ok := strings.Cut(s, "=")
		if !ok {
			return errors.Newf("%q is not of the form field=value", s)
		}
		if err := setField(m.ProtoReflect(), name, value); err != nil {
			return errors.Wrapf(err, "%s", s)
		}
	}
	return nil
}

func setField(m protoreflect.Message, name, value string) error {
	name, rest, nested := strings.Cut(name, ".")
	field := m.Descriptor().Fields().ByName(protoreflect.Name(name))
	if field == nil {
		return errors.Newf("there is no field %q; fields are: %s", name, fieldNames(m.Descriptor(), ""))
	}
	if field.Message() != nil {
		if !nested {
			return errors.Newf("%q is not a single value; set one of its fields: %s", name, fieldNames(field.Message(), name+"."))
		}
		return setField(m.Mutable(field).Message(), rest, value)
	}
	if nested {
		return errors.Newf("field %q has no fields of its own", name)
	}
	if field.IsList() {
		return setList(m, field, value)
	}
	v, err := parseValue(field, value)
	if err != nil {
		return err
	}
	m.Set(field, v)
	return nil
}

func setList(m protoreflect.Message, field protoreflect.FieldDescriptor, value string) error {
	m.Clear(field)
	if value == "" {
		return nil
	}
	list := m.Mutable(field).List()
	for _, part := range strings.Split(value, ",") {
		v, err := parseValue(field, strings.TrimSpace(part))
		if err != nil {
			return err
		}
		list.Append(v)
	}
	return nil
}

func parseValue(field protoreflect.FieldDescriptor, value string) (protoreflect.Value, error) {
	switch field.Kind() {
	case protoreflect.BoolKind:
		b, err := strconv.ParseBool(value)
		if err != nil {
			return protoreflect.Value{}, errors.New("accepted are true and false")
		}
		return protoreflect.ValueOfBool(b), nil
	case protoreflect.Uint32Kind:
		n, err := strconv.ParseUint(value, 10, 32)
		if err != nil {
			return protoreflect.Value{}, errors.New("accepted are whole numbers from 0")
		}
		return protoreflect.ValueOfUint32(uint32(n)), nil
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(value), nil
	case protoreflect.EnumKind:
		return parseEnum(field.Enum(), value)
	}
	return protoreflect.Value{}, errors.Newf("fields of type %s cannot be set by field=value", field.Kind())
}

// parseEnum accepts the name of a value in lower case, without the enum's name as prefix.
func parseEnum(enum protoreflect.EnumDescriptor, value string) (protoreflect.Value, error) {
	var accepted []string
	for i := range enum.Values().Len() {
		enumValue := enum.Values().Get(i)
		name := shortEnumName(enum, enumValue)
		if enumValue.Number() == 0 {
			continue
		}
		if name == value {
			return protoreflect.ValueOfEnum(enumValue.Number()), nil
		}
		accepted = append(accepted, name)
	}
	return protoreflect.Value{}, errors.Newf("accepted are %s", strings.Join(accepted, ", "))
}

// shortEnumName returns the name of an enum value in lower case, without the enum's name as prefix.
func shortEnumName(enum protoreflect.EnumDescriptor, v protoreflect.EnumValueDescriptor) string {
	prefix := strings.ToLower(string(enum.Name())) + "_"
	return strings.TrimPrefix(strings.ToLower(string(v.Name())), prefix)
}

// fieldNames lists the names of all fields of a message, in the form that setFields accepts.
func fieldNames(d protoreflect.MessageDescriptor, prefix string) string {
	var names []string
	for i := range d.Fields().Len() {
		f := d.Fields().Get(i)
		if f.Message() != nil {
			names = append(names, fieldNames(f.Message(), fmt.Sprintf("%s%s.", prefix, f.Name())))
			continue
		}
		names = append(names, prefix+string(f.Name()))
	}
	return strings.Join(names, ", ")
}
