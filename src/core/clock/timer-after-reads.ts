/** Timers for time limits of other parties, whose bytes may have arrived while this process was not running. */

/**
 * Calls back once the time has passed and what had arrived by then has been read: after a stall of the event loop,
 * timers run before sockets are read. Returns the function that stops the timer; stopping it again does nothing.
 */
export function startTimerAfterReads (onElapsed: () => void, delayMs: number): () => void {
  let reading: NodeJS.Immediate | undefined
  const timer = setTimeout(() => { reading = setImmediate(onElapsed) }, delayMs)
  return () => {
    clearTimeout(timer)
    clearImmediate(reading)
  }
}
