package decisionlog

import (
	"bytes"
	"encoding"
	"encoding/json"
	"reflect"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Formatter writes the same lines as logrus.JSONFormatter. It writes strings, numbers, booleans and errors without
// encoding/json, whose reflection over maps takes most of the time of a line, and leaves every other value to
// encoding/json.
type Formatter struct {
	fallback logrus.JSONFormatter
}

// keyPool holds the slices in which the keys of a line are sorted.
var keyPool = sync.Pool{New: func() any { return new([]string) }}

// Format implements logrus.Formatter.
func (f *Formatter) Format(e *logrus.Entry) ([]byte, error) {
	if e.Caller != nil || hasReservedName(e.Data) {
		return f.fallback.Format(e)
	}
	keys := keyPool.Get().(*[]string)
	defer keyPool.Put(keys)
	*keys = append((*keys)[:0], logrus.FieldKeyLevel, logrus.FieldKeyMsg, logrus.FieldKeyTime)
	for name := range e.Data {
		*keys = append(*keys, name)
	}
	slices.Sort(*keys)
	b := e.Buffer
	if b == nil {
		b = new(bytes.Buffer)
	}
	line := append(b.AvailableBuffer(), '{')
	for i, name := range *keys {
		if i > 0 {
			line = append(line, ',')
		}
		var err error
		if line, err = appendString(line, name); err != nil {
			return nil, err
		}
		line = append(line, ':')
		if line, err = appendField(line, e, name); err != nil {
			return nil, err
		}
	}
	line = append(line, '}', '\n')
	b.Write(line)
	return b.Bytes(), nil
}

// hasReservedName reports whether a field has a name that logrus reserves; logrus.JSONFormatter renames such fields.
func hasReservedName(data logrus.Fields) bool {
	for _, name := range [...]string{
		logrus.FieldKeyLevel, logrus.FieldKeyMsg, logrus.FieldKeyTime, logrus.FieldKeyLogrusError, logrus.FieldKeyFunc, logrus.FieldKeyFile,
	} {
		if _, ok := data[name]; ok {
			return true
		}
	}
	return false
}

func appendField(line []byte, e *logrus.Entry, name string) ([]byte, error) {
	switch name {
	case logrus.FieldKeyLevel:
		return appendString(line, e.Level.String())
	case logrus.FieldKeyMsg:
		return appendString(line, e.Message)
	case logrus.FieldKeyTime:
		return appendString(line, e.Time.Format(time.RFC3339))
	default:
		return appendValue(line, e.Data[name])
	}
}

func appendValue(line []byte, value any) ([]byte, error) {
	switch v := value.(type) {
	case error:
		return appendString(line, v.Error())
	case json.Marshaler, encoding.TextMarshaler, nil:
		return appendAny(line, v)
	}
	switch v := reflect.ValueOf(value); v.Kind() {
	case reflect.String:
		return appendString(line, v.String())
	case reflect.Bool:
		return strconv.AppendBool(line, v.Bool()), nil
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		return strconv.AppendInt(line, v.Int(), 10), nil
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return strconv.AppendUint(line, v.Uint(), 10), nil
	default:
		return appendAny(line, value)
	}
}

func appendString(line []byte, s string) ([]byte, error) {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c >= 0x7f || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&' {
			return appendAny(line, s)
		}
	}
	line = append(line, '"')
	line = append(line, s...)
	return append(line, '"'), nil
}

func appendAny(line []byte, value any) ([]byte, error) {
	text, err := json.Marshal(value)
	return append(line, text...), err
}
