/** Returns the text of a streamed completion, or a text starting with "truncated" if it has no end event. */
export function readStream(body: string): string {
  const events = body.split('\n\n').map(event => event.slice('data: '.length));
  if (!events.includes('[DONE]')) return `truncated: ${body.slice(-200)}`;
  return events
    .filter(event => event.startsWith('{'))
    .map(event => JSON.parse(event) as {choices: {text: string}[]})
    .map(({choices}) => choices[0]?.text ?? '')
    .join('');
}
