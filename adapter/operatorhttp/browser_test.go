package operatorhttp

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/chromedp/chromedp"
	"github.com/chromedp/chromedp/kb"
	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/table"
)

// browserVariable names the environment variable with the Chromium program that the page is tested with. Without it
// the tests in a browser are skipped.
const browserVariable = "BULRUSH_BROWSER"

// newBrowser returns the context of a headless browser without background network traffic.
func newBrowser(t *testing.T) context.Context {
	program := os.Getenv(browserVariable)
	if program == "" {
		t.Skipf("%s does not name a browser", browserVariable)
	}
	options := append(chromedp.DefaultExecAllocatorOptions[:],
		chromedp.ExecPath(program), chromedp.NoSandbox, chromedp.DisableGPU, chromedp.WindowSize(1600, 900),
		chromedp.Flag("disable-background-networking", true), chromedp.Flag("disable-component-update", true),
		chromedp.Flag("disable-sync", true), chromedp.Flag("disable-quic", true),
	)
	ctx, cancel := chromedp.NewExecAllocator(context.Background(), options...)
	t.Cleanup(cancel)
	ctx, cancel = chromedp.NewContext(ctx)
	t.Cleanup(cancel)
	ctx, cancel = context.WithTimeout(ctx, time.Minute)
	t.Cleanup(cancel)
	return ctx
}

// waitUntil polls the page until the JavaScript condition holds.
func waitUntil(condition string) chromedp.Action[chromedp.Void] {
	return func(ctx context.Context, target *chromedp.Target) (chromedp.Void, error) {
		_, err := chromedp.Poll[bool](condition)(ctx, target)
		return chromedp.Void{}, err
	}
}

// screenshot saves an image of the page in the directory that BULRUSH_SCREENSHOTS names, if it is set.
func screenshot(t *testing.T, ctx context.Context, name string) {
	dir := os.Getenv("BULRUSH_SCREENSHOTS")
	if dir == "" {
		return
	}
	png, err := chromedp.Run(ctx, chromedp.FullScreenshot(100))
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(dir+"/"+name+".png", png, 0o600))
}

// Guards against a page that does not show the fault of an edit, saves without a review of the changes, or saves other
// values than were typed.
func TestEditInBrowser(t *testing.T) {
	ctx := newBrowser(t)
	c, _ := serveTable(t)
	_, err := c.Put(t.Context(), newMetadata(0, 1), CSV([]byte(csvHeader+"api,latency-critical,web,2,250\nnightly,batch,web,1,0\n")))
	require.NoError(t, err)

	require.NoError(t, chromedp.Do(ctx,
		chromedp.Navigate(c.BaseURL+"/table/"),
		chromedp.SendKeys(chromedp.CSS("#token"), editToken+kb.Enter),
		chromedp.WaitVisible(chromedp.CSS("#grid tbody tr")),
	))
	screenshot(t, ctx, "1-open")
	weight := cellSelector(1, table.ColWeight)
	require.NoError(t, chromedp.Do(ctx,
		chromedp.Click(chromedp.CSS(weight)),
		chromedp.KeyEvent("0"), chromedp.KeyEvent(kb.Enter),
		waitUntil(`document.querySelector('#faults').textContent === '1 faults'`),
	))
	screenshot(t, ctx, "2-fault")
	require.NoError(t, chromedp.Do(ctx,
		chromedp.Click(chromedp.CSS(weight)),
		chromedp.KeyEvent("7"), chromedp.KeyEvent(kb.Enter),
		waitUntil(`document.querySelector('#faults').textContent === 'No faults' && !document.querySelector('#review').disabled`),
		chromedp.Click(chromedp.CSS("#review")),
		chromedp.WaitVisible(chromedp.CSS("#changes td")),
	))
	screenshot(t, ctx, "3-review")
	require.NoError(t, chromedp.Do(ctx,
		chromedp.SendKeys(chromedp.CSS("#author"), "operator one"),
		chromedp.SendKeys(chromedp.CSS("#reason"), "more weight"),
		chromedp.Click(chromedp.CSS("#save button.primary")),
		waitUntil(`document.querySelector('#force').textContent.includes('2')`),
	))
	screenshot(t, ctx, "4-saved")
	got, err := c.Table(t.Context(), 0)
	require.NoError(t, err)
	require.Equal(t, table.Revision(2), got.Revision)
	require.Equal(t, 7, got.ToRows()[0].Weight)
	require.Equal(t, 1, got.ToRows()[1].Weight)
}
