package traffic

import (
	"errors"
	"fmt"
	"math"
)

// ErrInvalidShape is wrapped by the errors of Shape.Validate.
var ErrInvalidShape = errors.New("invalid traffic shape")

// Shape describes how the rate changes over time, as a factor of the mean rate. The zero value is a constant rate.
type Shape struct {
	DailySwing    float64 // amplitude of the daily sine wave: with 0.2 the factor is between 0.8 and 1.2
	DayLength     Seconds // period of the daily wave
	BurstInterval Seconds // time from the end of a burst to the end of the next; 0: no bursts
	BurstLength   Seconds
	BurstFactor   float64 // factor by which the rate is multiplied during a burst
}

// Validate returns an error that wraps ErrInvalidShape if a field has a value that is not permitted.
func (s Shape) Validate() error {
	switch {
	case !(s.DailySwing >= 0 && s.DailySwing <= 1):
		return fmt.Errorf("%w: want a daily swing from 0 to 1, got %v", ErrInvalidShape, s.DailySwing)
	case s.DailySwing > 0 && !(s.DayLength > 0):
		return fmt.Errorf("%w: want a day length above 0 with a daily swing, got %v s", ErrInvalidShape, s.DayLength)
	case s.BurstInterval > 0 && !(s.BurstLength > 0 && s.BurstLength <= s.BurstInterval):
		return fmt.Errorf("%w: want a burst length above 0 and up to the interval of %v s, got %v s", ErrInvalidShape, s.BurstInterval, s.BurstLength)
	case s.BurstInterval > 0 && !(s.BurstFactor >= 0):
		return fmt.Errorf("%w: want a burst factor of 0 or more, got %v", ErrInvalidShape, s.BurstFactor)
	}
	return nil
}

// Factor returns the factor of the mean rate at a time since the start. A burst is the last part of each burst interval.
func (s Shape) Factor(elapsed Seconds) float64 {
	factor := 1.0
	if s.DailySwing > 0 {
		factor += s.DailySwing * math.Sin(2*math.Pi*elapsed/s.DayLength)
	}
	if s.BurstInterval > 0 && math.Mod(elapsed, s.BurstInterval) >= s.BurstInterval-s.BurstLength {
		factor *= s.BurstFactor
	}
	return factor
}

// MaxFactor returns a value that Factor does not exceed at any time, if the shape is valid.
func (s Shape) MaxFactor() float64 {
	factor := 1 + s.DailySwing
	if s.BurstInterval > 0 {
		factor *= max(1, s.BurstFactor)
	}
	return factor
}
