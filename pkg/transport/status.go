package transport

import (
	"net/http"

	"github.com/go-faster/errors"
)

// minStatus and maxStatus are the first and the last status of RFC 9110, section 15.
const (
	minStatus = 100
	maxStatus = 599
)

// validateStatus returns an error unless the status of a response is from 100 to 599.
// Package net/http has checked that its text has three characters and is a number; a sign
// in place of a digit makes the number smaller than 100.
func validateStatus(head *http.Response) error {
	if head.StatusCode < minStatus || head.StatusCode > maxStatus {
		return errors.Wrapf(errMalformed, "status %q", head.Status)
	}
	return nil
}
