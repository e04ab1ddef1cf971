package feed

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// snapshot is the content of the store, read page by page. Changes after its position may
// be missing, or included only in part.
type snapshot struct {
	changes []Change
	at      Position // the lowest one of the pages
	lastKey string   // up to which the keys were read in their order
	hasMore bool     // whether further keys follow
	pages   int
	stale   int // stale ones of the pages
}

// isExact reports whether the content is that of one position: a single current page.
func (s *snapshot) isExact() bool { return s.pages == 1 && s.stale == 0 }

// addPage adds a page. The error is ErrHistoryLost if the store was restored between it
// and an earlier one.
func (s *snapshot) addPage(p Page, stale bool) error {
	if s.pages > 0 && s.at.Era != p.At.Era {
		return ErrHistoryLost
	}
	if s.pages == 0 || p.At.isBefore(s.at) {
		s.at = p.At
	}
	s.pages++
	if stale {
		s.stale++
	}
	s.changes = append(s.changes, p.Changes...)
	return nil
}

// readPage adds the page after a key.
func (r *Reader) readPage(s *snapshot, after string, stale bool) (Page, error) {
	r.countCall(r.loadReason())
	p, err := r.options.Store.Page(r.ctx, after, stale)
	if err != nil {
		return Page{}, err
	}
	return p, s.addPage(p, stale)
}

// readNextPage adds the next page in the order of keys.
func (r *Reader) readNextPage(s *snapshot, stale bool) error {
	p, err := r.readPage(s, s.lastKey, stale)
	n := len(p.Changes)
	s.hasMore = p.HasMore && n > 0
	if n > 0 {
		s.lastKey = p.Changes[n-1].Key
	}
	return err
}

// readPages adds the pages that s does not hold yet.
func (r *Reader) readPages(s *snapshot, stale bool) error {
	for s.pages == 0 || s.hasMore {
		if err := r.readNextPage(s, stale); err != nil {
			return err
		}
	}
	return nil
}

// readFirstPages reads the first page currently, because it holds the settings tree, and
// stale pages from random places, and publishes the tree, the evacuations and the backend
// servers of those:
// on a large deployment, all pages take more than a second when all entries start at once,
// and a few backend servers are enough to serve the first requests.
func (r *Reader) readFirstPages(s *snapshot) error {
	if err := r.readNextPage(s, false); err != nil || !s.hasMore {
		return err
	}
	first := s.changes
	if err := r.readFirstEvacuations(first); err != nil {
		return err
	}
	var random []Change
	for range randomPages {
		p, err := r.readPage(s, randomKey(first, r.options.Translator), true)
		if err != nil {
			return err
		}
		random = append(random, p.Changes...)
	}
	now := time.Now()
	if 2*len(random) < len(first) {
		random = first // the keys are not as randomKey expects them
	}
	// The first page is the same for all entries: its backend servers would be overloaded.
	r.backends.apply(random, now, false)
	r.publishInstances(now)
	s.changes = r.takeTree(s.changes)
	return nil
}

// readFirstEvacuations applies the evacuations of the first page, and reads them apart if
// the page ends before the registrations: a large settings tree or keys of other writers may
// fill it.
func (r *Reader) readFirstEvacuations(first []Change) error {
	now := time.Now()
	if n := len(first); r.readsEvacuationsApart() && (n == 0 || r.options.Translator.Kind(first[n-1].Key) != Registration) {
		p, err := r.readEvacuations(relayLoadTimeout)
		if err != nil {
			return err
		}
		first = p.Changes
	}
	r.evacuations.apply(first, now)
	r.recordComplete(now)
	return nil
}

const (
	// randomPages is the number of pages from random places that an entry reads first.
	randomPages = 2
	// randomDigits is the number of random digits in a random key. It determines how many
	// places in the order of keys can be drawn.
	randomDigits = 4
)

// randomKey returns a place in the order of the registrations' keys, drawn at random so
// that entries which start at once do not all use the same backend servers. changes are
// those of the first page. Identifiers are expected to be random hexadecimal numbers; the
// place may be before or behind all keys if they are not. It is empty if the page has no
// registrations.
func randomKey(changes []Change, translator Translator) string {
	prefix, found := "", false
	for _, c := range changes {
		if translator.Kind(c.Key) != Registration {
			continue
		}
		if !found {
			prefix, found = c.Key, true
		}
		prefix = commonPrefix(prefix, c.Key)
	}
	if !found {
		return ""
	}
	// The identifiers of the first page begin with zeros.
	return strings.TrimRight(prefix, "0") + fmt.Sprintf("%0*x", randomDigits, rand.N(1<<(4*randomDigits)))
}

func commonPrefix(a, b string) string {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return a[:n]
}
