// A grid of text cells with keyboard editing, copy and paste, and undo. It is independent of the API.

const maxUndoSteps = 50;

export class Grid {
  // The grid calls onChange after each change of a cell or row, and onSelect with the column of the selected cell.
  constructor(element, { onChange, onSelect }) {
    this.element = element;
    this.onChange = onChange;
    this.onSelect = onSelect;
    this.columns = [];
    this.rows = [];
    this.base = new Map();
    this.faults = new Map();
    this.undoStack = [];
    this.active = { row: 0, column: 0 };
    this.input = null;
    element.addEventListener('keydown', (event) => this.onKey(event));
    element.addEventListener('paste', (event) => this.onPaste(event));
    element.addEventListener('copy', (event) => this.onCopy(event));
    element.addEventListener('mousedown', (event) => this.onMouseDown(event));
    element.addEventListener('dblclick', () => this.edit());
  }

  // setColumns replaces the header: [{name, unit, numeric, effect, range, default}].
  setColumns(columns) {
    this.columns = columns;
    const head = document.createElement('thead');
    const line = head.insertRow();
    for (const column of columns) {
      const cell = document.createElement('th');
      cell.scope = 'col';
      cell.textContent = column.unit ? `${column.name} (${column.unit})` : column.name;
      cell.title = `${column.effect}\nRange: ${column.range}\nDefault: ${column.default || 'none'}`;
      line.append(cell);
    }
    this.body = document.createElement('tbody');
    this.element.replaceChildren(head, this.body);
  }

  // setRows replaces the contents. Cells that differ from the row of the same name in base are marked as changed.
  setRows(rows, base) {
    this.rows = rows.map((row) => this.rowText(row));
    this.base = new Map(base.map((row) => [String(row.name), this.rowText(row)]));
    this.undoStack = [];
    this.faults = new Map();
    this.draw();
  }

  rowText(row) {
    return Object.fromEntries(this.columns.map((c) => [c.name, String(row[c.name] ?? '')]));
  }

  // setFaults marks the cells of the given faults: [{row (from 1), column, message}].
  setFaults(faults) {
    this.faults = new Map();
    for (const fault of faults) {
      const key = `${fault.row - 1} ${fault.column || this.columns[0].name}`;
      this.faults.set(key, [...(this.faults.get(key) || []), fault.message]);
    }
    this.rows.forEach((_, row) => this.columns.forEach((_, column) => this.drawCell(row, column)));
  }

  draw() {
    this.input = null;
    this.body.replaceChildren();
    this.rows.forEach((_, row) => {
      const line = this.body.insertRow();
      this.columns.forEach((column, index) => {
        const cell = line.insertCell();
        cell.tabIndex = -1;
        cell.setAttribute('role', 'gridcell');
        cell.className = column.numeric ? 'number' : '';
        this.drawCell(row, index);
      });
    });
    this.select(Math.min(this.active.row, this.rows.length - 1), this.active.column, false);
  }

  drawCell(row, column) {
    const cell = this.cell(row, column);
    if (!cell || cell.contains(this.input)) {
      return;
    }
    const name = this.columns[column].name;
    const value = this.rows[row][name];
    const base = this.base.get(this.rows[row].name);
    const messages = this.faults.get(`${row} ${name}`);
    cell.textContent = value;
    cell.classList.toggle('changed', !base || base[name] !== value);
    cell.setAttribute('aria-invalid', messages ? 'true' : 'false');
    cell.title = messages ? messages.join('\n') : '';
    if (messages) {
      const note = document.createElement('span');
      note.className = 'fault';
      note.textContent = messages.join('; ');
      cell.append(note);
    }
  }

  cell(row, column) {
    return this.body.rows[row]?.cells[column];
  }

  select(row, column, focus = true) {
    this.cell(this.active.row, this.active.column)?.setAttribute('tabindex', '-1');
    this.active = {
      row: Math.max(0, Math.min(row, this.rows.length - 1)),
      column: Math.max(0, Math.min(column, this.columns.length - 1)),
    };
    const cell = this.cell(this.active.row, this.active.column);
    cell?.setAttribute('tabindex', '0');
    if (focus) {
      cell?.focus();
    }
    this.onSelect(this.columns[this.active.column]);
  }

  saveUndoStep() {
    this.undoStack.push(this.rows.map((row) => ({ ...row })));
    this.undoStack.splice(0, this.undoStack.length - maxUndoSteps);
  }

  undo() {
    const rows = this.undoStack.pop();
    if (!rows) {
      return;
    }
    this.rows = rows;
    this.draw();
    this.onChange();
  }

  setCell(row, column, value) {
    const name = this.columns[column].name;
    if (this.rows[row][name] === value) {
      return;
    }
    this.saveUndoStep();
    this.rows[row][name] = value;
    this.columns.forEach((_, index) => this.drawCell(row, index));
    this.onChange();
  }

  addRow() {
    this.saveUndoStep();
    this.rows.push(this.rowText({}));
    this.draw();
    this.select(this.rows.length - 1, 0);
    this.onChange();
  }

  removeRow() {
    if (this.rows.length === 0) {
      return;
    }
    this.saveUndoStep();
    this.rows.splice(this.active.row, 1);
    this.draw();
    this.onChange();
  }

  edit(initialText) {
    const { row, column } = this.active;
    const cell = this.cell(row, column);
    if (!cell || this.input) {
      return;
    }
    const value = this.rows[row][this.columns[column].name];
    this.input = document.createElement('input');
    this.input.value = initialText ?? value;
    this.input.setAttribute('aria-label', this.columns[column].name);
    this.input.addEventListener('blur', () => this.endEdit(true, false));
    cell.replaceChildren(this.input);
    this.input.focus();
  }

  // endEdit ends editing of the active cell. The entered value is used only if keep is set.
  endEdit(keep, focus = true) {
    const input = this.input;
    if (!input) {
      return;
    }
    this.input = null;
    const { row, column } = this.active;
    if (keep) {
      this.setCell(row, column, input.value.trim());
    }
    this.drawCell(row, column);
    if (focus) {
      this.select(row, column);
    }
  }

  onMouseDown(event) {
    const cell = event.target.closest('td');
    if (!cell || cell.contains(this.input)) {
      return;
    }
    event.preventDefault();
    this.endEdit(true, false);
    this.select(cell.parentElement.sectionRowIndex, cell.cellIndex);
  }

  onKey(event) {
    if (this.input ? this.onEditKey(event) : this.onMoveKey(event)) {
      event.preventDefault();
    }
  }

  onEditKey(event) {
    const { row, column } = this.active;
    switch (event.key) {
      case 'Enter':
        this.endEdit(true, false);
        this.select(row + 1, column);
        return true;
      case 'Tab':
        this.endEdit(true, false);
        this.select(row, column + (event.shiftKey ? -1 : 1));
        return true;
      case 'Escape':
        this.endEdit(false);
        return true;
      default:
        return false;
    }
  }

  onMoveKey(event) {
    const { row, column } = this.active;
    if (event.ctrlKey || event.metaKey) {
      if (event.key === 'z') {
        this.undo();
        return true;
      }
      return false;
    }
    const moves = {
      ArrowUp: [-1, 0], ArrowDown: [1, 0], ArrowLeft: [0, -1], ArrowRight: [0, 1],
      PageUp: [-20, 0], PageDown: [20, 0], Home: [0, -this.columns.length], End: [0, this.columns.length],
    };
    if (moves[event.key]) {
      this.select(row + moves[event.key][0], column + moves[event.key][1]);
      return true;
    }
    switch (event.key) {
      case 'Enter':
      case 'F2':
        this.edit();
        return true;
      case 'Delete':
      case 'Backspace':
        if (this.rows.length > 0) {
          this.setCell(row, column, '');
        }
        return true;
      default:
        if (event.key.length === 1 && !event.altKey) {
          // The browser then inserts the typed character into the empty input.
          this.edit('');
        }
        return false;
    }
  }

  onCopy(event) {
    if (this.input || this.rows.length === 0) {
      return;
    }
    event.clipboardData.setData('text/plain', this.rows[this.active.row][this.columns[this.active.column].name]);
    event.preventDefault();
  }

  // onPaste writes a block of cells with the active cell at its top left, and adds rows as needed.
  onPaste(event) {
    if (this.input) {
      return;
    }
    event.preventDefault();
    const block = parseBlock(event.clipboardData.getData('text/plain'));
    if (block.length === 0) {
      return;
    }
    this.saveUndoStep();
    // A header line at the top of the block is skipped.
    const names = this.columns.map((c) => c.name);
    const isHeader = (line) => line.length > 1 && line.every((cell) => names.includes(cell.split(' (')[0].trim()));
    const lines = isHeader(block[0]) ? block.slice(1) : block;
    lines.forEach((line, i) => {
      const row = this.active.row + i;
      while (this.rows.length <= row) {
        this.rows.push(this.rowText({}));
      }
      line.forEach((value, j) => {
        const column = this.columns[this.active.column + j];
        if (column) {
          this.rows[row][column.name] = value.trim();
        }
      });
    });
    this.draw();
    this.select(this.active.row, this.active.column);
    this.onChange();
  }
}

// parseBlock parses clipboard text of a spreadsheet. Tabs separate cells, and cells that contain a tab, a line break or
// a quote are quoted.
export function parseBlock(text) {
  const block = [];
  let line = [];
  let cell = '';
  let quoted = false;
  for (let i = 0; i < text.length; i++) {
    const ch = text[i];
    if (quoted) {
      if (ch === '"' && text[i + 1] === '"') {
        cell += '"';
        i++;
      } else if (ch === '"') {
        quoted = false;
      } else {
        cell += ch;
      }
    } else if (ch === '"' && cell === '') {
      quoted = true;
    } else if (ch === '\t' || ch === '\n') {
      line.push(cell);
      cell = '';
      if (ch === '\n') {
        block.push(line);
        line = [];
      }
    } else if (ch !== '\r') {
      cell += ch;
    }
  }
  if (cell !== '' || line.length > 0) {
    line.push(cell);
    block.push(line);
  }
  while (block.length > 0 && block[block.length - 1].every((value) => value.trim() === '')) {
    block.pop();
  }
  return block;
}
