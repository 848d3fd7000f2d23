import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as specs from '../__fixtures__/specs.js';
import * as createBaselinePlacer from '../create_baseline_placer.js';

nodeTest.describe('createBaselinePlacer', () => {
  nodeTest.it('places in order of arrival until nothing fits', () => {
    const placer = createBaselinePlacer.createBaselinePlacer();
    placer.setWorker(specs.worker(0, specs.room(2)));
    placer.enqueue(specs.queued('a.1'));
    placer.enqueue(specs.queued('a.2'));
    placer.enqueue(specs.queued('a.3'));
    const placed = placer.decide(specs.at(0), 10).placements;
    assert.deepEqual(
      placed.map((each) => each.taskId),
      ['a.1/0', 'a.2/0'],
    );
    assert.equal(placer.waitingTasks(), 1);
    placer.release(placed[0]!.taskId, {type: 'done', ranMs: 5});
    assert.equal(placer.decide(specs.at(1), 10).placements.length, 1);
  });

  nodeTest.it('starts all tasks of a gang or none', () => {
    const placer = createBaselinePlacer.createBaselinePlacer();
    placer.setWorker(specs.worker(0, specs.room(2)));
    const gang = specs.spec({shape: {kind: 'gang', tasks: 3}});
    placer.enqueue(specs.queued('a.1', gang));
    assert.equal(placer.decide(specs.at(0), 10).placements.length, 0);
    placer.setWorker(specs.worker(1, specs.room(1)));
    assert.equal(placer.decide(specs.at(1), 10).placements.length, 3);
  });

  nodeTest.it('holds quotas and closed workers', () => {
    const placer = createBaselinePlacer.createBaselinePlacer();
    placer.setTeam(specs.team('plans', {quota: specs.room(1, 65_536)}));
    placer.setWorker(specs.worker(0));
    const two = specs.spec({shape: {kind: 'batch', tasks: 2}});
    placer.enqueue(specs.queued('a.1', two));
    const placed = placer.decide(specs.at(0), 10).placements;
    assert.equal(placed.length, 1);
    assert.match(placer.explainWait(specs.queued('a.1').jobId), /quota/);
    placer.cordonWorker(specs.worker(0).id);
    placer.release(placed[0]!.taskId, {type: 'done', ranMs: 5});
    assert.equal(placer.decide(specs.at(1), 10).placements.length, 0);
  });

  nodeTest.it('refuses what fits no worker', () => {
    const placer = createBaselinePlacer.createBaselinePlacer();
    placer.setWorker(specs.worker(0, specs.room(2)));
    const refusal = placer.admit(
      specs.spec({size: specs.room(3)}),
      specs.at(0),
    );
    assert.equal(refusal?.reason, 'can_never_run');
  });
});
