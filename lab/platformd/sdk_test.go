package platformd_test

import (
	"bytes"
	"context"
	"io"
	"strconv"
	"strings"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	s3types "github.com/aws/aws-sdk-go-v2/service/s3/types"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/chestnutfield/chestnutfield/lab/platformd"
)

var tableName = aws.String("chestnutfield")

func start(o platformd.Options) *platformd.Server {
	s := platformd.New(o)
	Expect(s.Start("127.0.0.1:0")).To(Succeed())
	DeferCleanup(s.Close)
	return s
}

func tableClient(s *platformd.Server) *dynamodb.Client {
	return dynamodb.New(dynamodb.Options{
		Region: "local", BaseEndpoint: aws.String(s.URL()), Retryer: aws.NopRetryer{},
		Credentials: credentials.NewStaticCredentialsProvider("id", "secret", ""),
	})
}

func objectClient(s *platformd.Server) *s3.Client {
	return s3.New(s3.Options{
		Region: "local", BaseEndpoint: aws.String(s.URL()), Retryer: aws.NopRetryer{}, UsePathStyle: true,
		Credentials: credentials.NewStaticCredentialsProvider("id", "secret", ""),
	})
}

func str(s string) types.AttributeValue { return &types.AttributeValueMemberS{Value: s} }
func num(n int) types.AttributeValue    { return &types.AttributeValueMemberN{Value: strconv.Itoa(n)} }

func row(pk, sk string, rev int) map[string]types.AttributeValue {
	return map[string]types.AttributeValue{
		"pk": str(pk), "sk": str(sk), "rev": num(rev), "writer": str("w1"),
		"B": &types.AttributeValueMemberB{Value: []byte{0, 1, 255}},
	}
}

func revIs(n int) map[string]types.AttributeValue {
	return map[string]types.AttributeValue{":r": num(n)}
}

func putAbsent(pk, sk string) *dynamodb.PutItemInput {
	return &dynamodb.PutItemInput{
		TableName: tableName, Item: row(pk, sk, 1), ConditionExpression: aws.String("attribute_not_exists(pk)"),
		ReturnValuesOnConditionCheckFailure: types.ReturnValuesOnConditionCheckFailureAllOld,
	}
}

func get(c *dynamodb.Client, pk, sk string) map[string]types.AttributeValue {
	out, err := c.GetItem(context.Background(), &dynamodb.GetItemInput{
		TableName: tableName, ConsistentRead: aws.Bool(true),
		Key: map[string]types.AttributeValue{"pk": str(pk), "sk": str(sk)},
	})
	Expect(err).NotTo(HaveOccurred())
	return out.Item
}

var _ = Describe("the table service, through the SDK", func() {
	ctx := context.Background()

	It("keeps opaque attributes and refuses a write whose condition fails", func() {
		c := tableClient(start(platformd.Options{}))
		_, err := c.PutItem(ctx, putAbsent("p", "a"))
		Expect(err).NotTo(HaveOccurred())
		Expect(get(c, "p", "a")).To(Equal(row("p", "a", 1)))
		Expect(get(c, "p", "b")).To(BeEmpty())

		_, err = c.PutItem(ctx, putAbsent("p", "a"))
		var failed *types.ConditionalCheckFailedException
		Expect(err).To(MatchErrorType(&failed))
		Expect(failed.Item).To(Equal(row("p", "a", 1)))

		remove := &dynamodb.DeleteItemInput{
			TableName: tableName, Key: map[string]types.AttributeValue{"pk": str("p"), "sk": str("a")},
			ConditionExpression: aws.String("rev = :r"), ExpressionAttributeValues: revIs(2),
		}
		_, err = c.DeleteItem(ctx, remove)
		Expect(err).To(MatchErrorType(&failed))
		remove.ExpressionAttributeValues = revIs(1)
		_, err = c.DeleteItem(ctx, remove)
		Expect(err).NotTo(HaveOccurred())
		Expect(get(c, "p", "a")).To(BeEmpty())
	})

	It("queries in order, past a key and by pages", func() {
		c := tableClient(start(platformd.Options{}))
		for _, sk := range []string{"c", "a", "d", "b"} {
			_, err := c.PutItem(ctx, putAbsent("p", sk))
			Expect(err).NotTo(HaveOccurred())
		}
		out, err := c.Query(ctx, &dynamodb.QueryInput{
			TableName: tableName, KeyConditionExpression: aws.String("pk = :p AND sk > :a"), Limit: aws.Int32(2),
			ExpressionAttributeValues: map[string]types.AttributeValue{":p": str("p"), ":a": str("a")},
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(out.Items).To(Equal([]map[string]types.AttributeValue{row("p", "b", 1), row("p", "c", 1)}))
		Expect(out.LastEvaluatedKey).To(HaveKeyWithValue("sk", str("c")))
	})

	It("applies a transaction whole or not at all, with a reason for each entry", func() {
		c := tableClient(start(platformd.Options{}))
		_, err := c.PutItem(ctx, putAbsent("p", "a"))
		Expect(err).NotTo(HaveOccurred())
		entry := func(sk string) types.TransactWriteItem {
			return types.TransactWriteItem{Put: &types.Put{
				TableName: tableName, Item: row("p", sk, 9), ConditionExpression: aws.String("attribute_not_exists(pk)"),
				ReturnValuesOnConditionCheckFailure: types.ReturnValuesOnConditionCheckFailureAllOld,
			}}
		}
		in := &dynamodb.TransactWriteItemsInput{TransactItems: []types.TransactWriteItem{entry("new"), entry("a")}}
		_, err = c.TransactWriteItems(ctx, in)
		var cancelled *types.TransactionCanceledException
		Expect(err).To(MatchErrorType(&cancelled))
		Expect(cancelled.CancellationReasons).To(HaveLen(2))
		Expect(*cancelled.CancellationReasons[0].Code).To(Equal("None"))
		Expect(*cancelled.CancellationReasons[1].Code).To(Equal("ConditionalCheckFailed"))
		Expect(cancelled.CancellationReasons[1].Item).To(Equal(row("p", "a", 1)))
		Expect(get(c, "p", "new")).To(BeEmpty())

		in.TransactItems = []types.TransactWriteItem{entry("x"), entry("y")}
		_, err = c.TransactWriteItems(ctx, in)
		Expect(err).NotTo(HaveOccurred())
		Expect(get(c, "p", "y")).To(Equal(row("p", "y", 9)))
	})

	DescribeTable("rejects what it does not know",
		func(change func(*dynamodb.PutItemInput), want string) {
			c := tableClient(start(platformd.Options{}))
			in := putAbsent("p", "a")
			change(in)
			_, err := c.PutItem(ctx, in)
			Expect(err).To(MatchError(ContainSubstring(want)))
		},
		Entry("another condition", func(in *dynamodb.PutItemInput) {
			in.ConditionExpression = aws.String("size(B) > :r")
		}, "ValidationException"),
		Entry("another table", func(in *dynamodb.PutItemInput) { in.TableName = aws.String("other") }, "ResourceNotFoundException"),
		Entry("no sort key", func(in *dynamodb.PutItemInput) { delete(in.Item, "sk") }, "ValidationException"),
	)

	It("is throttled beyond its capacity and counts it", func() {
		s := start(platformd.Options{WritesPerSecond: 1})
		c := tableClient(s)
		_, err := c.TransactWriteItems(ctx, &dynamodb.TransactWriteItemsInput{TransactItems: []types.TransactWriteItem{
			{Put: &types.Put{TableName: tableName, Item: row("p", "a", 1)}},
			{Put: &types.Put{TableName: tableName, Item: row("p", "b", 1)}},
		}})
		Expect(err).To(MatchError(ContainSubstring("ProvisionedThroughputExceededException")))
		Expect(s.Stats().Operations["TransactWriteItems"].Throttled).To(BeEquivalentTo(1))
		Expect(get(c, "p", "a")).To(BeEmpty())
	})
})

var _ = Describe("the object store, through the SDK", func() {
	ctx := context.Background()

	It("gives back the body that was put, and NoSuchKey for none", func() {
		c := objectClient(start(platformd.Options{}))
		bucket, key := aws.String("snapshots"), aws.String("tables/7.json")
		body := bytes.Repeat([]byte("chestnut"), 40<<10)
		_, err := c.PutObject(ctx, &s3.PutObjectInput{Bucket: bucket, Key: key, Body: bytes.NewReader(body)})
		Expect(err).NotTo(HaveOccurred())
		out, err := c.GetObject(ctx, &s3.GetObjectInput{Bucket: bucket, Key: key, ChecksumMode: s3types.ChecksumModeEnabled})
		Expect(err).NotTo(HaveOccurred())
		Expect(io.ReadAll(out.Body)).To(Equal(body))
		head, err := c.HeadObject(ctx, &s3.HeadObjectInput{Bucket: bucket, Key: key})
		Expect(err).NotTo(HaveOccurred())
		Expect(*head.ContentLength).To(BeEquivalentTo(len(body)))

		_, err = c.DeleteObject(ctx, &s3.DeleteObjectInput{Bucket: bucket, Key: key})
		Expect(err).NotTo(HaveOccurred())
		_, err = c.GetObject(ctx, &s3.GetObjectInput{Bucket: bucket, Key: key})
		var missing *s3types.NoSuchKey
		Expect(err).To(MatchErrorType(&missing))
	})

	It("refuses a body that does not match its checksum", func() {
		c := objectClient(start(platformd.Options{}))
		_, err := c.PutObject(ctx, &s3.PutObjectInput{
			Bucket: aws.String("b"), Key: aws.String("k"), Body: strings.NewReader("x"), ChecksumCRC32: aws.String("AAAAAA=="),
		})
		Expect(err).To(MatchError(ContainSubstring("BadDigest")))
	})
})
