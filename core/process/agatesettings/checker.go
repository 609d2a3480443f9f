package agatesettings

import (
	"fmt"
	"log/slog"
	"net/netip"
	"slices"
	"time"

	"agatereach/core/process/agateplacement"
)

// checker turns values of the file into typed ones and collects the faults.
type checker struct {
	faults []Fault
}

func (c *checker) fault(key, reason string) {
	c.faults = append(c.faults, Fault{Key: key, Reason: reason})
}

// text returns a text, otherwise if there is none.
func (c *checker) text(key string, v any, otherwise string) string {
	if v == nil {
		return otherwise
	}
	text, ok := v.(string)
	if !ok {
		c.fault(key, "must be a text")
	}
	return text
}

// name returns a text that must be set.
func (c *checker) name(key string, v any) string {
	name := c.text(key, v, "")
	if v == nil || v == "" {
		c.fault(key, "must be set")
	}
	if len(name) > maxID {
		c.fault(key, fmt.Sprintf("must have at most %d bytes", maxID))
	}
	return name
}

// texts returns a list of texts that must not be empty.
func (c *checker) texts(key string, v any) []string {
	list, ok := v.([]any)
	if v != nil && !ok {
		c.fault(key, "must be a list of texts")
		return nil
	}
	if len(list) == 0 {
		c.fault(key, "must be set")
	}
	texts := make([]string, len(list))
	for i, item := range list {
		texts[i] = c.text(fmt.Sprintf("%s[%d]", key, i), item, "")
	}
	return texts
}

// number returns a number from low to high, otherwise if there is none.
func (c *checker) number(key string, v any, otherwise, low, high int) int {
	number := int64(otherwise)
	if v != nil {
		given, ok := v.(int64)
		if !ok {
			c.fault(key, "must be a whole number")
			return otherwise
		}
		number = given
	}
	if number < int64(low) || number > int64(high) {
		c.fault(key, fmt.Sprintf("must be from %d to %d", low, high))
		return otherwise
	}
	return int(number)
}

// address returns an IP address with a port, which must be set.
func (c *checker) address(key string, v any) netip.AddrPort {
	text := c.text(key, v, "")
	if text == "" {
		c.fault(key, "must be set")
		return netip.AddrPort{}
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		c.fault(key, fmt.Sprintf("%q is no IP address with a port", text))
	}
	return address
}

// port checks that a valid address names a port, and returns it.
func (c *checker) port(key string, address netip.AddrPort) netip.AddrPort {
	if address.IsValid() && address.Port() == 0 {
		c.fault(key, "must name a port")
	}
	return address
}

// duration returns a time above 0 up to high, otherwise if there is none.
func (c *checker) duration(key string, v any, otherwise, high time.Duration) time.Duration {
	text := c.text(key, v, otherwise.String())
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 || d > high {
		c.fault(key, fmt.Sprintf("must be a time above 0 up to %s, such as \"10s\"", high))
		return otherwise
	}
	return d
}

// policy returns the name of a placement policy, empty for the default.
func (c *checker) policy(v any) string {
	name := c.text("balance.policy", v, "")
	known := agateplacement.Names()
	if name != "" && !slices.Contains(known, agateplacement.Name(name)) {
		c.fault("balance.policy", fmt.Sprintf("must be one of %v", known))
	}
	return name
}

func (c *checker) format(v any) Format {
	format := Format(c.text("log.format", v, string(Text)))
	if format != Text && format != JSON {
		c.fault("log.format", "must be text or json")
	}
	return format
}

func (c *checker) level(v any) slog.Level {
	var level slog.Level
	if err := level.UnmarshalText([]byte(c.text("log.level", v, "info"))); err != nil {
		c.fault("log.level", "must be debug, info, warn or error")
	}
	return level
}
