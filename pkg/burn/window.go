package burn

import "time"

const (
	// shortBucketLength and shortBuckets make up the short window of 5 minutes.
	shortBucketLength = 10 * time.Second
	shortBuckets      = 30
	// longBucketLength and longBuckets make up the long window of 1 hour.
	longBucketLength = time.Minute
	longBuckets      = 60
)

// Count counts the samples of a window.
type Count struct {
	// Good is the number of good samples, at most Total.
	Good int64
	// Total is the number of all samples.
	Total int64
}

func (c Count) add(other Count) Count {
	return Count{Good: c.Good + other.Good, Total: c.Total + other.Total}
}

// bucket counts the samples of a fixed interval.
type bucket struct {
	// number is the number of intervals since the Unix epoch.
	number int64
	// good is at most total.
	good, total uint32
}

// series holds the samples of one service and priority for both windows.
type series struct {
	short [shortBuckets]bucket
	long  [longBuckets]bucket
}

func (s *series) record(now time.Time, good bool) {
	addSample(s.short[:], now, shortBucketLength, good)
	addSample(s.long[:], now, longBucketLength, good)
}

func addSample(ring []bucket, now time.Time, bucketLength time.Duration, good bool) {
	number := now.UnixNano() / int64(bucketLength)
	b := &ring[int(number%int64(len(ring)))]
	if b.number > number {
		return
	}
	if b.number < number {
		*b = bucket{number: number}
	}
	b.total++
	if good {
		b.good++
	}
}

// sum adds up the samples of the window that ends with the current bucket.
func sum(ring []bucket, now time.Time, bucketLength time.Duration) (count Count) {
	number := now.UnixNano() / int64(bucketLength)
	for _, b := range ring {
		if b.number <= number && b.number > number-int64(len(ring)) {
			count = count.add(Count{Good: int64(b.good), Total: int64(b.total)})
		}
	}
	return count
}
