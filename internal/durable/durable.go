// Package durable writes files so that they outlive a loss of power.
package durable

import (
	"errors"
	"os"
	"path/filepath"
)

// SuffixPartial is what the names of files end in that are being written: what has it is not whole.
const SuffixPartial = ".partial"

// filePerm keeps what callers handed in to the process.
const filePerm = 0o600

// syncFolder makes the names in a folder last. Tests replace it.
var syncFolder = func(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(folder.Sync(), folder.Close())
}

// Write makes a file durable under its name, in the place of one that is there: its content is synced before the name
// exists, and the folder after, because a name that was not synced may be gone after a loss of power. After an error the
// name may stand for the old content or the new one.
func Write(path string, content []byte) error {
	partial := path + SuffixPartial
	file, err := os.OpenFile(partial, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, filePerm)
	if err != nil {
		return err
	}
	_, err = file.Write(content)
	if err == nil {
		err = file.Sync()
	}
	err = errors.Join(err, file.Close())
	if err == nil {
		err = os.Rename(partial, path)
	}
	if err != nil {
		_ = os.Remove(partial)
		return err
	}
	return syncFolder(filepath.Dir(path))
}
