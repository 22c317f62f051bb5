/** Version moves with real nodes under draft traffic, over loopback. */
import test from 'ava'
import { moveKeyPrefix, parseMoveRecord } from '../../src/core/moves/index.ts'
import type { MoveRecord } from '../../src/core/moves/index.ts'
import { createTestDiagnostics } from '../diagnostics.ts'
import { callerToken, startDeployment, waitUntil } from './deployment.ts'

const moveDurationMs = 18_000
const requestPauseMs = 40

type Deployment = Awaited<ReturnType<typeof startDeployment>>

async function readMove ({ store }: Deployment): Promise<MoveRecord | undefined> {
  const read = await store.get(`${moveKeyPrefix}agency`, { deadlineAtMs: Date.now() + 2_000 })
  return read.isOk && read.value.entry !== undefined ? parseMoveRecord(read.value.entry.value) : undefined
}

/** Sends a draft request and returns the version that answered it, or the reason of a refusal. */
async function sendDraft (url: string, prompt: string): Promise<string> {
  const response = await fetch(`${url}/v1/teams/agency/drafts/letters`, {
    method: 'POST',
    headers: { authorization: `Bearer ${callerToken}` },
    body: JSON.stringify({ prompt, maxTokens: 8, stream: false })
  })
  const body = await response.json() as { version?: string, reason?: string }
  return body.version ?? `refused: ${body.reason}`
}

/** Declares a move and sends drafts to all nodes until it ends. */
async function runMoveUnderTraffic (deployment: Deployment): Promise<{ record: MoveRecord | undefined, versions: string[] }> {
  const pending: Array<Promise<string>> = []
  const trafficEnd = new AbortController()
  async function send (): Promise<void> {
    for (let sent = 0; !trafficEnd.signal.aborted; sent += 1) {
      pending.push(sendDraft(deployment.urlOf(sent % deployment.nodes.length), `case file ${sent}`))
      await new Promise(resolve => setTimeout(resolve, requestPauseMs))
    }
  }
  const sending = send()
  await deployment.declareMove('v2', Date.now() + moveDurationMs)
  try {
    await waitUntil(async () => (await readMove(deployment)) !== undefined)
    await waitUntil(async () => (await readMove(deployment))?.end !== undefined)
  } finally {
    trafficEnd.abort()
    await sending
  }
  return { record: await readMove(deployment), versions: await Promise.all(pending) }
}

test.serial('a good version serves all drafts by the deadline of the move, and no draft fails', async t => {
  const diagnostics = createTestDiagnostics(t)
  const deployment = await startDeployment(3, 2, diagnostics)
  t.teardown(deployment.close)
  const { record, versions } = await runMoveUnderTraffic(deployment)
  diagnostics.note(`${JSON.stringify(record)}; ${versions.length} drafts, ${versions.filter(version => version === 'v2').length} of v2`)
  t.like(record?.end, { word: 'done', reason: 'moved' })
  t.true((record?.end?.atMs ?? Infinity) < (record?.deadlineAtMs ?? 0))
  t.deepEqual([...new Set(versions)].sort(), ['v1', 'v2'])
  await waitUntil(async () => (await Promise.all([0, 1, 2].map(index => sendDraft(deployment.urlOf(index), 'after')))).every(version => version === 'v2'))
})

test.serial('a failing version is rolled back, and no draft fails', async t => {
  const deployment = await startDeployment()
  t.teardown(deployment.close)
  for (const engine of deployment.engines) engine.setBehaviour('v2', { effect: 'fail' })
  const { record, versions } = await runMoveUnderTraffic(deployment)
  t.like(record?.end, { word: 'taken-back', reason: 'bad-version' })
  t.deepEqual([...new Set(versions)], ['v1'])
})
