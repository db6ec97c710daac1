package bench

import (
	"io"
	"os"

	"github.com/rotisserie/eris"
)

// writeFile writes a plot to a new file.
func writeFile(name string, w io.WriterTo) error {
	f, err := os.Create(name)
	if err != nil {
		return eris.Wrap(err, "write the plot")
	}
	if _, err := w.WriteTo(f); err != nil {
		_ = f.Close()
		return eris.Wrap(err, "write the plot")
	}
	return eris.Wrap(f.Close(), "write the plot")
}
