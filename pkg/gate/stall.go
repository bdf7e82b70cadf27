package gate

import "time"

const (
	// strainShare is the part of the slots that must be busy before the ages of what
	// runs tell anything, in percent: a few works that take long must not keep the
	// other slots empty.
	strainShare = 60
	// strainEnds is how many works must have ended before: the first ones to end are
	// the short ones, and make all others look slow.
	strainEnds = 32
	// usualAge is the age of running work in service times on a well upstream, on
	// average.
	usualAge = 0.5
	// strainedAge is the age in service times from which an upstream counts as slow.
	strainedAge = 1.0
	// leastExpected stands for the service time of work that is not known to take any.
	leastExpected = 10 * time.Millisecond
)

// strain tells from the ages of running work that an upstream is slower than its
// completed work says: one that hangs completes nothing.
type strain struct {
	// began is the time of the first work.
	began time.Time
	works int
	// ends counts the works that have ended.
	ends int
	// rates is the sum of one over the expected service times, in seconds, and
	// starts that of the times of start since began in service times.
	rates, starts float64
}

// begin counts work that starts now and is expected to take that long.
func (s *strain) begin(now time.Time, w *Request, expected time.Duration) {
	if s.began.IsZero() {
		s.began = now
	}
	w.expected = max(expected, leastExpected)
	s.works++
	s.rates += 1 / w.expected.Seconds()
	s.starts += now.Sub(s.began).Seconds() / w.expected.Seconds()
}

// end takes in that the work has ended.
func (s *strain) end(w *Request) {
	s.works--
	s.ends++
	s.rates -= 1 / w.expected.Seconds()
	s.starts -= w.started.Sub(s.began).Seconds() / w.expected.Seconds()
	if s.works == 0 {
		s.rates, s.starts = 0, 0
	}
}

// slowness returns by which factor service times are longer than they were, at
// least 1.
func (s *strain) slowness(now time.Time, slots int) float64 {
	if s.works*100 < slots*strainShare || s.works == 0 || s.ends < strainEnds {
		return 1
	}
	age := (now.Sub(s.began).Seconds()*s.rates - s.starts) / float64(s.works)
	if age < strainedAge {
		return 1
	}
	return age / usualAge
}
