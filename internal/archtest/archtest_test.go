// Package archtest checks the structure of the code base: which packages may
// import which others, and that pure packages read neither the clock nor global
// randomness.
package archtest

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const module = "github.com/carobwharf/carobwharf/"

// Packages that only make decisions: typed input, typed output, no I/O.
var purePackages = []string{
	"structs", "configcheck", "publication", "admission", "dispatch", "retry",
	"intent", "pacing", "budget", "rollout", "buffer", "placement", "membership", "lease",
	"daemon/gateway/dispatcher", "daemon/controller/jobs/machine",
	"workload", "engine", "intake", "fleet", "internal/times",
}

// Standard packages that a pure package may import besides other pure packages.
var pureImports = map[string]bool{
	"cmp": true, "container/heap": true, "container/list": true, "crypto/sha256": true,
	"encoding/binary": true, "encoding/hex": true, "errors": true, "fmt": true,
	"hash/fnv": true, "maps": true, "math": true, "math/bits": true, "math/rand/v2": true,
	"slices": true, "sort": true, "strconv": true, "strings": true, "time": true,
}

// Functions that read the clock or global randomness.
var impureCalls = map[string][]string{
	"time": {"Now", "Sleep", "After", "AfterFunc", "NewTimer", "NewTicker", "Tick", "Since", "Until"},
	"rand": {"Int", "IntN", "Int64", "Int64N", "Uint32", "Uint64", "Float64", "Perm", "Shuffle"},
}

// Packages with network access; only peer packages, platform adapters and
// stand-ins may import them.
var networkImports = []string{
	"net", "net/http", "github.com/valyala/fasthttp", "storj.io/drpc",
}

type file struct {
	dir, path string
	syntax    *ast.File
	fset      *token.FileSet
}

// parseSources returns all Go files of the module except tests.
func parseSources(t *testing.T) []file {
	t.Helper()
	var out []file
	root := filepath.Join("..", "..")
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && strings.HasPrefix(d.Name(), ".") && d.Name() != ".." {
			return filepath.SkipDir
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		fset := token.NewFileSet()
		syntax, err := parser.ParseFile(fset, path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		rel, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		out = append(out, file{dir: filepath.ToSlash(filepath.Dir(rel)), path: rel, syntax: syntax, fset: fset})
		return nil
	})
	require.NoError(t, err)
	require.NotEmpty(t, out)
	return out
}

func importPaths(f file) []string {
	var out []string
	for _, spec := range f.syntax.Imports {
		path, err := strconv.Unquote(spec.Path.Value)
		if err == nil {
			out = append(out, path)
		}
	}
	return out
}

func isPure(dir string) bool {
	for _, p := range purePackages {
		if dir == p {
			return true
		}
	}
	return false
}

// A decision that does I/O can't be replayed from a recorded transcript.
func TestPurePackagesImportOnlyPurePackages(t *testing.T) {
	for _, f := range parseSources(t) {
		if !isPure(f.dir) {
			continue
		}
		for _, imp := range importPaths(f) {
			ok := pureImports[imp] || isPure(strings.TrimPrefix(imp, module))
			require.True(t, ok, "%s imports %s", f.path, imp)
		}
	}
}

// A decision that reads the clock or global randomness differs between replays of
// the same transcript.
func TestPurePackagesReadNoClockAndNoGlobalRandomness(t *testing.T) {
	for _, f := range parseSources(t) {
		if !isPure(f.dir) {
			continue
		}
		ast.Inspect(f.syntax, func(n ast.Node) bool {
			sel, ok := n.(*ast.SelectorExpr)
			if !ok {
				return true
			}
			pkg, ok := sel.X.(*ast.Ident)
			if !ok {
				return true
			}
			for _, name := range impureCalls[pkg.Name] {
				require.NotEqual(t, name, sel.Sel.Name, "%s uses %s.%s", f.path, pkg.Name, name)
			}
			return true
		})
	}
}

// Names from the protocols of the users' platform. Only the platform adapters and
// the stand-ins may use them; the other packages use the project's own names.
var platformNames = []string{
	"run-start", "run-stop", "machine-move", "machine-upkeep", "rows-tx", "rows-get", "rows-feed", "rows-parts",
	"fence-token", "last-seen", "set-keys", "est-runtime-ms", "anti-affinity", "may-miss", "clock-ms",
	"Target-Instance", "Lease-Holder", "Fencing-Token", "CAROBWHARF_SETTINGS", "hold-max-ms", "path-prefix",
}

// If other packages used names of the platform, a new version of its protocols
// would affect the whole code base.
func TestOnlyAdaptersUsePlatformNames(t *testing.T) {
	for _, f := range parseSources(t) {
		if strings.HasPrefix(f.dir, "platform/") || strings.HasPrefix(f.dir, "standin/") {
			continue
		}
		ast.Inspect(f.syntax, func(n ast.Node) bool {
			lit, ok := n.(*ast.BasicLit)
			if !ok || lit.Kind != token.STRING {
				return true
			}
			for _, name := range platformNames {
				require.NotContains(t, lit.Value, name, f.path)
			}
			return true
		})
	}
}

// Decisions that an adapter makes would be missing from the transcripts, so adapters
// must not import packages that make or carry out decisions.
func TestAdaptersImportNoDutyAndNoOtherAdapter(t *testing.T) {
	for _, f := range parseSources(t) {
		if !strings.HasPrefix(f.dir, "platform/") {
			continue
		}
		for _, imp := range importPaths(f) {
			inner := strings.TrimPrefix(imp, module)
			for _, banned := range []string{"node/", "daemon/", "platform/", "cli", "fleet", "dispatch", "lease"} {
				require.False(t, inner == banned || strings.HasSuffix(banned, "/") && strings.HasPrefix(inner, banned), "%s imports %s", f.path, imp)
			}
		}
	}
}

// Support for another wire format must need only one new package.
func TestOnlyPeersAndStandinsUseTheNetwork(t *testing.T) {
	for _, f := range parseSources(t) {
		if strings.HasPrefix(f.dir, "peer/") || strings.HasPrefix(f.dir, "standin/") || strings.HasPrefix(f.dir, "platform/") {
			continue
		}
		for _, imp := range importPaths(f) {
			for _, banned := range networkImports {
				require.False(t, imp == banned || strings.HasPrefix(imp, banned+"/"), "%s imports %s", f.path, imp)
			}
		}
	}
}

// Each piece of state has one owning duty; a mutex would allow a second owner.
func TestNoMutexes(t *testing.T) {
	for _, f := range parseSources(t) {
		if strings.HasSuffix(f.path, ".pb.go") {
			continue
		}
		ast.Inspect(f.syntax, func(n ast.Node) bool {
			sel, ok := n.(*ast.SelectorExpr)
			if !ok {
				return true
			}
			if pkg, ok := sel.X.(*ast.Ident); ok && pkg.Name == "sync" {
				require.NotContains(t, []string{"Mutex", "RWMutex", "Map"}, sel.Sel.Name, f.path)
			}
			return true
		})
	}
}
