package tree_test

import (
	"fmt"

	"wisteriarelay.example/core/tree"
)

// A value is set for the deployment and overridden for one workspace. The origin
// of each effective value names the path that sets it.
func ExampleDocument_Effective() {
	doc, err := tree.ParseFile([]byte(`{
		"/": {"owners": ["marta", "hector"], "floor": "50%"},
		"/workspace/shop": {"floor": "70%"}, // shops are small
		"/workspace/cafe": {},
	}`))
	if err != nil {
		fmt.Println(err)
		return
	}
	for _, path := range []tree.Path{"/workspace/shop", "/workspace/cafe"} {
		value, origin, err := doc.Effective(path, "floor")
		if err != nil {
			fmt.Println(err)
			return
		}
		fmt.Println(path, string(value.Raw), "from", origin.Path)
	}
	// Output:
	// /workspace/shop "70%" from /workspace/shop
	// /workspace/cafe "50%" from /
}
