package pick_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lilackeel/lilackeel/endpoint"
	"github.com/lilackeel/lilackeel/endpoint/load"
	"github.com/lilackeel/lilackeel/endpoint/outlier"
	"github.com/lilackeel/lilackeel/endpoint/pick"
	"github.com/lilackeel/lilackeel/endpoint/prefix"
)

// Two engines serve a model. One of them is leaving, so the call goes to the
// other. After dispatch the caller notifies the tracker and the index.
func ExamplePicker_Pick() {
	table := endpoint.NewTable()
	table.Replace([]endpoint.Endpoint{
		{ID: "engine-0", Pool: "chat", Model: "m", Slots: 8, State: endpoint.Leaving},
		{ID: "engine-1", Pool: "chat", Model: "m", Slots: 8},
	})
	loads := load.New(load.Config{}, table)
	index := prefix.New(prefix.Config{})
	picker := pick.New(pick.Config{}, table, loads, index, outlier.New(outlier.Config{}))

	now := time.Second
	request := &pick.Request{Pool: "chat", Model: "m", Prompt: []uint64{11, 12}, PromptTokens: 128, MaxTokens: 16}
	chosen, explain, err := picker.Pick(now, rand.New(rand.NewPCG(1, 1)), request)
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(chosen.ID, "of", explain.Considered)

	call := loads.Sent(now, chosen.ID, load.Work{PromptTokens: request.PromptTokens})
	index.Sent(now, chosen.ID, request.Prompt)
	loads.FirstToken(now+50*time.Millisecond, &call)
	loads.Done(now+time.Second, &call, load.Result{Tokens: 16})

	// Output: engine-1 of 1
}
