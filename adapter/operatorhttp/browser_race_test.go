package operatorhttp

import (
	"context"
	"fmt"
	"strconv"
	"testing"

	"github.com/chromedp/chromedp"
	"github.com/chromedp/chromedp/kb"
	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/table"
)

// cellSelector returns the CSS selector of the grid cell in a row, counted from 1, and a column.
func cellSelector(row int, name table.ColumnName) string {
	for i, c := range table.Columns() {
		if c.Name == name {
			return fmt.Sprintf("#grid tbody tr:nth-child(%d) td:nth-of-type(%d)", row, i+1)
		}
	}
	return ""
}

// pasteText dispatches a paste event with clipboard text, as a spreadsheet produces it, to the grid.
func pasteText(text string) chromedp.Action[chromedp.Void] {
	return evaluate(`(() => {
		const data = new DataTransfer();
		data.setData('text/plain', ` + strconv.Quote(text) + `);
		document.querySelector('#grid').dispatchEvent(new ClipboardEvent('paste', {clipboardData: data, bubbles: true, cancelable: true}));
		return true;
	})()`)
}

// evaluate runs a script that returns a boolean.
func evaluate(script string) chromedp.Action[chromedp.Void] {
	return func(ctx context.Context, target *chromedp.Target) (chromedp.Void, error) {
		_, err := chromedp.Evaluate[bool](script)(ctx, target)
		return chromedp.Void{}, err
	}
}

// typeIntoCell selects a cell, types a value and confirms it with Enter.
func typeIntoCell(row int, name table.ColumnName, value string) []chromedp.Action[chromedp.Void] {
	return []chromedp.Action[chromedp.Void]{
		chromedp.Click(chromedp.CSS(cellSelector(row, name))), chromedp.KeyEvent(value), chromedp.KeyEvent(kb.Enter),
	}
}

// reviewEnabled is the condition that the table has been checked without faults.
const reviewEnabled = `document.querySelector('#faults').textContent === 'No faults' && !document.querySelector('#review').disabled`

// saveDialog fills in and submits the open dialog and waits until the page shows the message.
func saveDialog(reason, message string) []chromedp.Action[chromedp.Void] {
	return []chromedp.Action[chromedp.Void]{
		chromedp.WaitVisible(chromedp.CSS("#reason")),
		chromedp.SetValue(chromedp.CSS("#author"), "operator one"),
		chromedp.SetValue(chromedp.CSS("#reason"), reason),
		chromedp.Click(chromedp.CSS("#save button.primary")),
		waitUntil(`document.querySelector('#message').textContent.includes(` + strconv.Quote(message) + `)`),
	}
}

func reviewAndSave(reason, message string) []chromedp.Action[chromedp.Void] {
	return append([]chromedp.Action[chromedp.Void]{waitUntil(reviewEnabled), chromedp.Click(chromedp.CSS("#review"))}, saveDialog(reason, message)...)
}

func openPage(base string) []chromedp.Action[chromedp.Void] {
	return []chromedp.Action[chromedp.Void]{
		chromedp.Navigate(base + "/table/"),
		chromedp.SendKeys(chromedp.CSS("#token"), editToken+kb.Enter),
		chromedp.WaitVisible(chromedp.CSS("#grid tbody tr")),
		waitUntil(reviewEnabled),
	}
}

// Guards against a pasted spreadsheet block that is put into the wrong cells, loses rows, or is saved differently from
// what the page shows.
func TestPasteInBrowser(t *testing.T) {
	ctx := newBrowser(t)
	c, _ := serveTable(t)
	_, err := c.Put(t.Context(), newMetadata(0, 1), CSV([]byte(csvHeader+"api,latency-critical,web,2,250\nnightly,batch,web,1,0\n")))
	require.NoError(t, err)
	require.NoError(t, chromedp.Do(ctx, openPage(c.BaseURL)...))
	block := "nightly\tbatch\tno\tweb\t5\r\n\"weekly\"\tbatch\tyes\tweb\t3\r\n"
	require.NoError(t, chromedp.Do(ctx, chromedp.Click(chromedp.CSS(cellSelector(2, table.ColName))), pasteText(block),
		waitUntil(`document.querySelectorAll('#grid tbody tr').length === 3`)))
	require.NoError(t, chromedp.Do(ctx, reviewAndSave("pasted", "Saved as revision 2.")...))
	got, err := c.Table(t.Context(), 0)
	require.NoError(t, err)
	rows := got.ToRows()
	require.Len(t, rows, 3)
	weights := make(map[string]int)
	for _, r := range rows {
		weights[string(r.Name)] = r.Weight
	}
	require.Equal(t, map[string]int{"api": 2, "nightly": 5, "weekly": 3}, weights)
}

// Guards against a save after a concurrent change that overwrites that change, hides the conflicting rows or drops the
// operator's other changes, and against a history entry or rollback that shows or restores the wrong revision.
func TestConflictAndRollbackInBrowser(t *testing.T) {
	ctx := newBrowser(t)
	c, _ := serveTable(t)
	initialCSV := csvHeader + "api,latency-critical,web,2,250\nnightly,batch,web,1,0\n"
	_, err := c.Put(t.Context(), newMetadata(0, 1), CSV([]byte(initialCSV)))
	require.NoError(t, err)
	require.NoError(t, chromedp.Do(ctx, openPage(c.BaseURL)...))
	_, err = c.Put(t.Context(), newMetadata(1, 2), CSV([]byte(csvHeader+"api,latency-critical,web,9,250\nnightly,batch,web,1,0\n")))
	require.NoError(t, err)

	require.NoError(t, chromedp.Do(ctx, typeIntoCell(1, table.ColWeight, "7")...))
	require.NoError(t, chromedp.Do(ctx, typeIntoCell(2, table.ColWeight, "4")...))
	require.NoError(t, chromedp.Do(ctx, reviewAndSave("lost", "Rows in conflict, which show what is in force: api.")...))
	require.NoError(t, chromedp.Do(ctx, waitUntil(fmt.Sprintf(
		`document.querySelector(%q).textContent.trim() === '9' && document.querySelector(%q).textContent.trim() === '4'`,
		cellSelector(1, table.ColWeight), cellSelector(2, table.ColWeight)))))
	screenshot(t, ctx, "5-lost-race")
	got, err := c.Table(t.Context(), 0)
	require.NoError(t, err)
	require.Equal(t, table.Revision(2), got.Revision, "a conflicting save changes nothing")
	require.NoError(t, chromedp.Do(ctx, reviewAndSave("merged", "Saved as revision 3.")...))
	got, err = c.Table(t.Context(), 0)
	require.NoError(t, err)
	require.Equal(t, []int{9, 4}, []int{got.ToRows()[0].Weight, got.ToRows()[1].Weight})

	require.NoError(t, chromedp.Do(ctx,
		chromedp.Click(chromedp.CSS("#past summary")),
		waitUntil(`document.querySelectorAll('#history li').length === 3 && document.querySelector('#history li').value === 3`),
		chromedp.Click(chromedp.CSS("#history li:nth-child(2) button:nth-of-type(1)")),
		waitUntil(`document.querySelector('#history li:nth-child(2) ins').textContent === '9'`),
		chromedp.Click(chromedp.CSS("#history li:nth-child(3) button:nth-of-type(2)")),
	))
	screenshot(t, ctx, "6-history")
	require.NoError(t, chromedp.Do(ctx, saveDialog("back to the first", "Saved as revision 4.")...))
	got, err = c.Table(t.Context(), 0)
	require.NoError(t, err)
	require.Equal(t, []int{2, 1}, []int{got.ToRows()[0].Weight, got.ToRows()[1].Weight})
}
