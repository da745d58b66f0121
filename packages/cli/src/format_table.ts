import Table from 'cli-table3';

const NO_BORDERS = {
  top: '',
  'top-mid': '',
  'top-left': '',
  'top-right': '',
  bottom: '',
  'bottom-mid': '',
  'bottom-left': '',
  'bottom-right': '',
  left: '',
  'left-mid': '',
  mid: '',
  'mid-mid': '',
  right: '',
  'right-mid': '',
  middle: '  ',
};

/**
 * Formats rows under a header line, without colours, borders or trailing
 * spaces, so that the output suits pipes and golden files.
 */
export function formatTable(
  columnNames: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const table = new Table({
    head: [...columnNames],
    chars: NO_BORDERS,
    style: {head: [], border: [], 'padding-left': 0, 'padding-right': 0},
  });
  table.push(...rows.map(row => [...row]));
  return table
    .toString()
    .split('\n')
    .map(line => line.trimEnd())
    .join('\n');
}
