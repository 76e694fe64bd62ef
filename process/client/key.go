package client

import (
	"errors"
	"io"
	"strings"
	"unicode"

	"github.com/kingcuppitch/kingcuppitch/version/config"
	"github.com/spf13/cobra"
)

// maxKeyBytes bounds the length of a key that is read. A header of a caller holds far
// less.
const maxKeyBytes = 16 << 10

func (a *app) newKey() *cobra.Command {
	return &cobra.Command{
		Use:   "key",
		Short: "Print the digest of a tenant's key",
		Long: `key reads one key from standard input and prints its SHA-256 digest, which
belongs into the list keys of a tenant in a configuration file. The file never
contains the key itself. The key is no argument, because other users of the
machine can see arguments. It needs no daemon.`,
		Example: `  kingcuppitch key < acme.key`,
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			key, err := readKey(cmd.InOrStdin())
			if err != nil {
				return err
			}
			res := struct {
				Digest string `json:"digest"`
			}{config.KeyDigest(key)}
			a.print(res, func(p *printer) { p.line("%s", res.Digest) })
			return nil
		},
	}
}

// readKey reads a key, which ends with a line break or with the input. The errors do not
// quote it.
func readKey(r io.Reader) (string, error) {
	data, err := io.ReadAll(io.LimitReader(r, maxKeyBytes+1))
	if err != nil {
		return "", err
	}
	key := strings.TrimSuffix(strings.TrimSuffix(string(data), "\n"), "\r")
	switch {
	case key == "":
		return "", errors.New("the key is empty")
	case len(data) > maxKeyBytes:
		return "", errors.New("the key is too long")
	case strings.TrimSpace(key) != key || strings.ContainsFunc(key, unicode.IsControl):
		return "", errors.New("the key has space around it or control characters, which a header cannot carry")
	}
	return key, nil
}
