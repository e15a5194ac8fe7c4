package io.bilberrygrade.serving.forward;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.forward.PromptPart;
import io.bilberrygrade.serving.forward.ExchangeTestFleet.Member;
import io.bilberrygrade.serving.fuzz.SimulatedProcess;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Plays of fleets on virtual time whose endpoints crash under certain requests. */
final class RequestQuarantinePlays {
    /** Crashes by a request after which, and the stability window, the rule applies to it. */
    private static final int COUNTED_CRASHES = 3;

    /** Crashes by a part of prompts after which, and the window, the rule applies to it. */
    private static final int COUNTED_CRASHES_BY_PART = 5;

    /** One in so many requests is fatal. */
    private static final int REQUESTS_PER_FATAL = 3;

    private static final int CLIENTS = 3;

    /** A fatal request each 1.5 s. */
    private static final int REQUESTS_PER_SECOND_AFTER_LOSS = 2;

    private static final Duration PLAYED_TIME = Duration.ofSeconds(6);

    /** Attempts of a request whose answer hadn't begun. */
    private static final int MAX_ATTEMPTS = 2;

    /** Time in which a restarted daemon asks its peers and gets no requests. */
    private static final Duration START_TIME = Duration.ofSeconds(1);

    private static final Duration REPEAT_DELAY = Duration.ofMillis(40);
    private static final Duration READING = QuarantineTestFleet.READING;
    private static final PromptPart INTRODUCTION = new PromptPart("intro");
    private static final ImmutableSet<PromptPart> PARTS =
            ImmutableSet.of(INTRODUCTION, new PromptPart("doc"));

    private final QuarantineTestFleet mModel = new QuarantineTestFleet();
    private final ExchangeTestFleet mFleet = mModel.mFleet;

    /** Endpoints crash whether or not the daemon that sent the request still runs. */
    private final SimulatedProcess mEndpoints = new SimulatedProcess(mFleet.mTime, Duration.ZERO);

    private final List<Member> mStarting = new ArrayList<>();
    private final Map<Integer, Member> mLastOfClient = new HashMap<>();
    private int mRequests;
    private int mFatalRequests;
    private int mRuns;

    private static Fatal fatal(String id, ImmutableSet<PromptPart> parts, boolean begins) {
        return new Fatal(new QuarantineTestRequest(id, parts), begins);
    }

    /** Returns a request that no other is equal to. */
    private QuarantineTestRequest soundRequest(ImmutableSet<PromptPart> parts) {
        return new QuarantineTestRequest("sound" + mRequests + "." + mRuns, parts);
    }

    /** Plays requests, of which some are the fatal ones in turn, until the rule is broken. */
    private void play(Duration span, int perSecond, Fatal... fatal) {
        Duration interval = Duration.ofNanos(1_000_000_000L / perSecond);
        Instant end = mFleet.now().plus(span);
        while (mFleet.now().isBefore(end) && Arrays.stream(fatal).allMatch(Fatal::fulfilsRule)) {
            mFleet.mTime.advance(interval);
            mRequests++;
            Fatal next = fatal[mFatalRequests % fatal.length];
            if (mRequests % REQUESTS_PER_FATAL == 0) {
                mFatalRequests++;
                sendFatal(memberOfClient(mFatalRequests % CLIENTS), next, 1);
            } else if (mRequests % REQUESTS_PER_FATAL == 1) {
                mModel.sendSound(readyMember(), soundRequest(next.parts()));
            } else {
                PromptPart other = new PromptPart("other" + mRequests % 3);
                mModel.sendSound(readyMember(), soundRequest(ImmutableSet.of(other)));
            }
        }
    }

    private Member readyMember() {
        Member member = mModel.anyMember();
        while (mStarting.contains(member)) {
            member = mModel.anyMember();
        }
        return member;
    }

    /** Returns a member other than the one at which the client was last. */
    private Member memberOfClient(int client) {
        Member member = readyMember();
        while (member == mLastOfClient.get(client) && mFleet.mMembers.size() > 1) {
            member = readyMember();
        }
        mLastOfClient.put(client, member);
        return member;
    }

    private void sendFatal(Member member, Fatal fatal, int attempt) {
        QuarantineTestRequest request = fatal.next();
        if (request.isSentBy(member, mFleet.now())) {
            fatal.mArrivals.add(mFleet.now());
            mEndpoints.schedule(READING, () -> crash(member, fatal, request, attempt));
        }
    }

    /** Lets an endpoint crash under a request, beside one of another member that isn't at fault. */
    private void crash(Member member, Fatal fatal, QuarantineTestRequest request, int attempt) {
        fatal.mCrashes.add(mFleet.now());
        int run = mRuns++;
        Member other = readyMember();
        QuarantineTestRequest bystander = soundRequest(fatal.parts());
        boolean bystanderBegins = run % 4 == 0;
        recordCrash(member, run, request, fatal.mBegins);
        recordCrash(other, run, bystander, bystanderBegins);
        other.mProcess.schedule(REPEAT_DELAY, () -> mModel.sendSound(other, bystander));
        if (!fatal.mBegins && attempt < MAX_ATTEMPTS) {
            member.mProcess.schedule(REPEAT_DELAY, () -> sendFatal(member, fatal, attempt + 1));
        }
    }

    private void recordCrash(Member member, int run, QuarantineTestRequest request, boolean begun) {
        ImmutableList<QuarantineTestRequest> requests = ImmutableList.of(request);
        mModel.recordCrash(
                member,
                run,
                begun ? requests : ImmutableList.of(),
                begun ? ImmutableList.of() : requests);
    }

    private void checkRule(Fatal... fatal) {
        for (Fatal f : fatal) {
            assertThat(f.mCrashes).isNotEmpty();
            assertThat(f.lateArrivals())
                    .as(f.mArrivals.size() + " reached endpoints")
                    .isLessThanOrEqualTo(QuarantineTestFleet.MAX_LATE_ARRIVALS);
        }
        mModel.assertNoSoundOneRefused();
    }

    void checkRequest(int members, int perSecond, boolean begins) {
        mModel.start(members);
        Fatal fatal = fatal("fatal", PARTS, begins);
        play(PLAYED_TIME, perSecond, fatal);
        checkRule(fatal);
    }

    void checkRequestWithoutPrompt(int members, int perSecond, boolean begins) {
        mModel.start(members);
        Fatal fatal = fatal("fatal", ImmutableSet.of(), begins);
        play(PLAYED_TIME, perSecond, fatal);
        checkRule(fatal);
    }

    void checkRestartOfOneInThree(int members, int perSecond, boolean begins) {
        mModel.start(members);
        Fatal fatal = fatal("fatal", PARTS, begins);
        play(Duration.ofSeconds(2), perSecond, fatal);
        for (int i = 0; i < members; i += 3) {
            mStarting.add(mFleet.restart(i));
        }
        play(START_TIME, perSecond, fatal);
        mStarting.clear();
        play(PLAYED_TIME, perSecond, fatal);
        checkRule(fatal);
    }

    /** The two share a part, and each has one that the other doesn't hold. */
    void checkTwoRequests(int members, int perSecond, boolean begins) {
        mModel.start(members);
        Fatal first = fatal("first", PARTS, begins);
        Fatal second =
                fatal("second", ImmutableSet.of(INTRODUCTION, new PromptPart("another")), begins);
        play(PLAYED_TIME, perSecond, first, second);
        checkRule(first, second);
    }

    /** Most members are killed, or can't be reached by those that are left. */
    void checkRequestAfterLoss(int members, int left, Loss loss, boolean begins) {
        mModel.start(members);
        lose(left, loss);
        Fatal fatal = fatal("fatal", PARTS, begins);
        play(Duration.ofSeconds(30), REQUESTS_PER_SECOND_AFTER_LOSS, fatal);
        checkRule(fatal);
    }

    void checkPartAfterLoss(int members, int left, Loss loss, boolean begins) {
        mModel.start(members);
        lose(left, loss);
        Fatal part = Fatal.part(new PromptPart("dead"), begins);
        play(Duration.ofSeconds(30), REQUESTS_PER_SECOND_AFTER_LOSS, part);
        checkRule(part);
    }

    /** Those that are left have sound requests at endpoints that others' requests crash. */
    void checkSoundRequestsAfterLoss(int members, int left, Loss loss) {
        mModel.start(members);
        lose(left, loss);
        for (int i = 0; i < 30; i++) {
            Member member = mModel.anyMember();
            QuarantineTestRequest bystander = soundRequest(PARTS);
            recordCrash(member, mRuns++, bystander, false);
            member.mProcess.schedule(REPEAT_DELAY, () -> mModel.sendSound(member, bystander));
            for (int k = 0; k < 20; k++) {
                mFleet.mTime.advance(Duration.ofMillis(40));
                mRequests++;
                mModel.sendSound(mModel.anyMember(), soundRequest(PARTS));
            }
        }
        mModel.assertNoSoundOneRefused();
    }

    private void lose(int left, Loss loss) {
        List<Member> lost = List.copyOf(mFleet.mMembers.subList(left, mFleet.mMembers.size()));
        if (loss == Loss.KILLED) {
            lost.forEach(m -> m.mProcess.kill());
        } else {
            mFleet.cut(mFleet.mMembers.subList(0, left), lost);
        }
        mFleet.mMembers.removeAll(lost);
        mFleet.mTime.advance(Duration.ofSeconds(6));
    }

    /** How members are lost to the others. */
    enum Loss {
        KILLED,
        CUT_OFF
    }

    void checkRequestAndPart(int members, int perSecond, boolean begins) {
        mModel.start(members);
        Fatal request = fatal("fatal", PARTS, begins);
        Fatal part = Fatal.part(new PromptPart("dead"));
        play(PLAYED_TIME, perSecond, request, part);
        checkRule(request, part);
    }

    void checkControlTraffic(int members, int perSecond, boolean begins) {
        mModel.start(members);
        Fatal fatal = fatal("fatal", PARTS, begins);
        mModel.assertLittleSent(span -> play(span, perSecond, fatal));
    }

    /** A request that often comes and is answered may be at each crash of another cause. */
    void checkAnsweredRequest(int members, boolean begun) {
        mModel.start(members);
        QuarantineTestRequest common = new QuarantineTestRequest("common", PARTS);
        for (int i = 0; i < 30; i++) {
            recordCrash(mModel.anyMember(), mRuns++, common, begun);
            for (int k = 0; k < 20; k++) {
                mFleet.mTime.advance(Duration.ofMillis(40));
                mModel.sendSound(mModel.anyMember(), common);
            }
        }
        mModel.assertNoSoundOneRefused();
    }

    /** Requests that crash endpoints, with what came of them. */
    private static final class Fatal {
        private final QuarantineTestRequest mRequest;
        private final boolean mBegins;
        private final int mCountedCrashes;
        private final boolean mAlike;
        private final List<Instant> mArrivals = new ArrayList<>();
        private final List<Instant> mCrashes = new ArrayList<>();
        private int mSent;

        Fatal(QuarantineTestRequest request, boolean begins) {
            this(request, begins, COUNTED_CRASHES, true);
        }

        private Fatal(
                QuarantineTestRequest request, boolean begins, int countedCrashes, boolean alike) {
            mRequest = request;
            mBegins = begins;
            mCountedCrashes = countedCrashes;
            mAlike = alike;
        }

        /** Returns requests that share a fatal part, no two of them alike. */
        static Fatal part(PromptPart part) {
            return part(part, true);
        }

        static Fatal part(PromptPart part, boolean begins) {
            return new Fatal(
                    new QuarantineTestRequest("part", ImmutableSet.of(INTRODUCTION, part)),
                    begins,
                    COUNTED_CRASHES_BY_PART,
                    false);
        }

        private long lateArrivals() {
            return QuarantineTestFleet.lateArrivals(mArrivals, mCrashes, mCountedCrashes);
        }

        boolean fulfilsRule() {
            return lateArrivals() <= QuarantineTestFleet.MAX_LATE_ARRIVALS;
        }

        QuarantineTestRequest next() {
            return mAlike
                    ? mRequest
                    : new QuarantineTestRequest(mRequest.id() + mSent++, mRequest.parts());
        }

        /** Returns the shared parts that are also in sound requests. */
        ImmutableSet<PromptPart> parts() {
            return mAlike ? mRequest.parts() : ImmutableSet.of(INTRODUCTION);
        }
    }
}
