/** Callers of the own interface whose requests are still open when a node has to stop. */
import { setTimeout as delay } from 'node:timers/promises'
import test from 'ava'
import { connectCaller } from '../raw-caller.ts'
import { callerToken, startDeployment, waitUntil } from './deployment.ts'

const drainMs = 2_500
/** No engine answers within the test. */
const endlessStepMs = 60_000

function head (path: string, bodyBytes: number, key: string): string {
  return `POST /v1/teams/${path} HTTP/1.1\r\nhost: 127.0.0.1\r\nauthorization: Bearer ${callerToken}\r\nidempotency-key: ${key}\r\ncontent-length: ${bodyBytes}\r\n\r\n`
}

// Guards against requests that are cut at the end of a stop without an answer, so that their callers don't know whether they ran.
test('a call and a draft without an answer at the end of a stop get one that says they may have run, and an incomplete request one that says it did not', async t => {
  const lines: Array<Record<string, unknown>> = []
  const deployment = await startDeployment(1, endlessStepMs, { logOf: () => (event, fields) => { lines.push({ event, ...fields }) } })
  t.teardown(deployment.close)
  await deployment.service.set({ callMs: endlessStepMs })
  const port = Number(new URL(deployment.urlOf(0)).port)
  const [call, draft, incomplete] = await Promise.all([0, 1, 2].map(() => connectCaller(port)))
  const draftBody = JSON.stringify({ prompt: 'case file 17', maxTokens: 40 })
  call!.write(`${head('registry/calls/registrations', 8, 'k-call')}debtor 9`)
  draft!.write(`${head('agency/drafts/letters', draftBody.length, 'k-draft')}${draftBody}`)
  incomplete!.write(`${head('registry/calls/registrations', 8, 'k-incomplete')}debt`)
  await waitUntil(() => deployment.engines.some(engine => engine.stats().running > 0))
  await delay(300)
  const stopped = deployment.nodes[0]!.drain(Date.now() + drainMs)
  const answers = await Promise.all([call!, draft!, incomplete!].map(caller => caller.nextResponse()))
  for (const [index, run] of ['unknown', 'unknown', 'not-run'].entries()) {
    const answer = answers[index]!
    t.like(answer, { status: 503, isComplete: true }, `answer ${index}`)
    t.like(JSON.parse(answer.body), { reason: 'draining', run }, `answer ${index}`)
    t.regex(answer.head, /connection: close/)
  }
  await stopped
  t.deepEqual(lines.filter(({ event, reason }) => event === 'requestRefused' && reason === 'draining').map(({ run }) => run).sort(), ['not-run', 'unknown', 'unknown'])
})
