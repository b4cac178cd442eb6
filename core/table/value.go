package table

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
)

// Text returns the value of the column in r as operators read and write it.
func (c Column) Text(r Row) string {
	if c.Numeric() {
		return strconv.FormatFloat(c.get(r), 'f', -1, 64)
	}
	return c.getText(r)
}

// Set parses text and stores the value in r. Surrounding space is ignored, and a blank text stands for the default. The
// value is checked in the same way as by Validate.
func (c Column) Set(r *Row, text string) error {
	text = strings.TrimSpace(text)
	if text == "" {
		if c.Required {
			return fmt.Errorf("is blank; a value is required")
		}
		text = c.Default
	}
	if !c.Numeric() {
		return c.setTextValue(r, text)
	}
	v, err := parseNumber(text)
	if err != nil {
		return err
	}
	if err := c.checkNumber(v); err != nil {
		return err
	}
	c.set(r, v)
	return nil
}

func (c Column) setTextValue(r *Row, text string) error {
	if c.Allowed != nil {
		text = strings.ToLower(text)
	}
	if c.Name == ColIdempotent {
		text = normalizeBool(text)
	}
	if err := c.checkText(text); err != nil {
		return err
	}
	c.setText(r, text)
	return nil
}

// normalizeBool converts the boolean values of spreadsheets to those of the table.
func normalizeBool(text string) string {
	switch text {
	case "true":
		return "yes"
	case "false":
		return "no"
	default:
		return text
	}
}

// Range describes the allowed values, for messages and for the reference of the columns.
func (c Column) Range() string {
	switch {
	case c.Allowed != nil:
		return strings.Join(c.Allowed, " or ")
	case !c.Numeric():
		return fmt.Sprintf("1 to %d characters of a-z A-Z 0-9 . _ -, starting with a letter or digit", MaxNameBytes)
	default:
		return fmt.Sprintf("%s to %s", formatNumber(c.Min), formatNumber(c.Max))
	}
}

// checkNumber returns an error if v is not a valid value of a numeric column.
func (c Column) checkNumber(v float64) error {
	if math.IsNaN(v) || v < c.Min || v > c.Max {
		return fmt.Errorf("%s is outside %s", formatNumber(v), strings.TrimSpace(c.Range()+" "+c.Unit))
	}
	scale := math.Pow10(c.Decimals)
	if math.Round(v*scale)/scale != v {
		return fmt.Errorf("%s has more than %d digits after the point", formatNumber(v), c.Decimals)
	}
	return nil
}

// checkText returns an error if text is not a valid value of a text column.
func (c Column) checkText(text string) error {
	if c.Allowed != nil {
		if !slices.Contains(c.Allowed, text) {
			return fmt.Errorf("%q is not %s", truncate(text), c.Range())
		}
		return nil
	}
	if text == "" {
		return fmt.Errorf("is blank; a value is required")
	}
	if len(text) > MaxNameBytes {
		return fmt.Errorf("%q is longer than %d characters", truncate(text), MaxNameBytes)
	}
	for i, ch := range []byte(text) {
		alphanumeric := ch >= 'a' && ch <= 'z' || ch >= 'A' && ch <= 'Z' || ch >= '0' && ch <= '9'
		if !alphanumeric && (i == 0 || !strings.ContainsRune("._-", rune(ch))) {
			return fmt.Errorf("%q is not made of a-z A-Z 0-9 . _ -, starting with a letter or digit", text)
		}
	}
	return nil
}

// parseNumber accepts digits with an optional sign and decimal point. It refuses exponents, separators and commas,
// because spreadsheets of different languages read them differently.
func parseNumber(text string) (float64, error) {
	digits := strings.TrimPrefix(text, "-")
	switch {
	case strings.Contains(text, ","):
		return 0, fmt.Errorf("%q has a comma; write a decimal point and no thousands separator", truncate(text))
	case strings.Trim(digits, "0123456789.") != "", strings.Trim(digits, ".") == "", strings.Count(digits, ".") > 1:
		return 0, fmt.Errorf("%q is not a number", truncate(text))
	case len(text) > 40:
		return 0, fmt.Errorf("%q is too long for a number", truncate(text))
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, fmt.Errorf("%q is not a number", truncate(text))
	}
	if v == 0 {
		// Drops the sign of "-0", which would otherwise be kept when the table is written.
		return 0, nil
	}
	return v, nil
}

func formatNumber(v float64) string {
	return strconv.FormatFloat(v, 'f', -1, 64)
}

func toMilli(v float64) int64 {
	return int64(math.Round(v * 1000))
}

// truncate shortens a value for a message.
func truncate(text string) string {
	const maxBytes = 80
	if len(text) > maxBytes {
		return text[:maxBytes] + "..."
	}
	return text
}
