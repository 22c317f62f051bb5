/** Drafts of real nodes whose engines crash on prompts with a certain text, over loopback. */
import test from 'ava'
import { partsOfBlocks } from '../../src/core/node/own-path-quarantine.ts'
import { callerToken, startDeployment, waitUntil } from '../node/deployment.ts'

const blockChars = 256
const systemPrompt = 'system prompt '.repeat(2 * blockChars / 14 + 1).slice(0, 2 * blockChars)
const crashingText = 'crash'.padEnd(blockChars, '!')

async function sendDraft (url: string, text: string): Promise<{ status: number, reason: string | undefined }> {
  const response = await fetch(`${url}/v1/teams/agency/drafts/letters`, {
    method: 'POST',
    headers: { authorization: `Bearer ${callerToken}`, 'deadline-at-ms': String(Date.now() + 8_000) },
    body: JSON.stringify({ prompt: systemPrompt + text, maxTokens: 4, stream: false })
  })
  const { reason } = await response.json() as { reason?: string }
  return { status: response.status, reason }
}

test('nodes refuse drafts whose prompts crash engines with 422, and answer others with the same beginning', async t => {
  const deployment = await startDeployment()
  t.teardown(deployment.close)
  for (const engine of deployment.engines) await engine.set({ crashOnText: crashingText })
  t.is((await sendDraft(deployment.urlOf(0), 'sound')).status, 200)
  let round = 0
  await waitUntil(async () => {
    round += 1
    const answers = await Promise.all([0, 1, 2].map(index => sendDraft(deployment.urlOf(index), `${crashingText}${index} ${round}`)))
    return answers.every(({ status, reason }) => status === 422 && reason === 'prompt-quarantined')
  }, 60_000)
  await waitUntil(async () => (await Promise.all([0, 1, 2].map(index => sendDraft(deployment.urlOf(index), `sound ${index}`)))).every(({ status }) => status === 200))
  const status = await deployment.nodes[1]!.status() as { quarantine: Array<{ state: string }> }
  t.is(status.quarantine[0]?.state, 'quarantined')
})

test('few hashes stand for a long prompt, and prompts with a common beginning share theirs', t => {
  const hashes = Array.from({ length: 400 }, (_, index) => `h${index}`)
  const parts = partsOfBlocks(hashes)
  t.true(parts.length <= 16)
  t.deepEqual(partsOfBlocks(hashes.slice(0, 20)), parts.filter(part => hashes.indexOf(part) < 20))
})
